package org.oriolewind.policy;

/**
 * Bounds on what a client may send. Immutable.
 *
 * @param maxHeaderBytes largest header section
 * @param maxBodyBytes largest body
 * @param headerTimeoutMillis longest time for a header section
 * @param idleTimeoutMillis time after which an idle connection is closed
 */
public record ClientLimits(
        int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** Used until operators say otherwise: 16 kB, 64 MB, 3 s, 15 s are what sites commonly set. */
    public static final ClientLimits DEFAULT =
            new ClientLimits(16_384, 64 * 1024 * 1024, 3000, 15_000);
}
