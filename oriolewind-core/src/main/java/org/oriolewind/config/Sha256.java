package org.oriolewind.config;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** Creates SHA-256 digests. Stateless. */
public final class Sha256 {
    private Sha256() {}

    /**
     * Creates a digest without input.
     *
     * @return a new digest, not thread-safe
     */
    public static MessageDigest newDigest() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }
}
