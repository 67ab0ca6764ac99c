package org.oriolewind.idempotency;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import org.oriolewind.config.Sha256;

/** Digests of keys. Stateless. */
public final class KeyDigest {
    private static final int DIGEST_BYTES = 16;

    private KeyDigest() {}

    /**
     * Digests a caller's key. Keys of different routes never meet.
     *
     * @param route the route's name
     * @param key the caller's key
     * @return 32 hexadecimal digits
     */
    public static String of(String route, String key) {
        MessageDigest sha = Sha256.newDigest();
        sha.update(route.getBytes(StandardCharsets.UTF_8));
        sha.update((byte) 0);
        byte[] digest = sha.digest(key.getBytes(StandardCharsets.UTF_8));
        return HexFormat.of().formatHex(digest, 0, DIGEST_BYTES);
    }
}
