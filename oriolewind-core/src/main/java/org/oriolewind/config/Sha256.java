package org.oriolewind.config;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** Makes SHA-256 digests. Stateless. */
public final class Sha256 {
    private Sha256() {}

    /**
     * Makes a digest that nothing was added to.
     *
     * @return the digest
     */
    public static MessageDigest newDigest() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
