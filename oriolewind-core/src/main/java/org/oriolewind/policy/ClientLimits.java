package org.oriolewind.policy;

/**
 * Limits on what a client may send. Immutable.
 *
 * @param maxHeaderBytes maximum size of a request's header section
 * @param maxBodyBytes maximum size of a request's body
 * @param headerTimeoutMillis maximum time for receiving a header section
 * @param idleTimeoutMillis time after which an idle connection is closed
 */
public record ClientLimits(
        int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /**
     * Limits until operators configure their own. 16 kB, 64 MB, 3 s and 15 s are common settings.
     */
    public static final ClientLimits DEFAULT =
            new ClientLimits(16_384, 64 * 1024 * 1024, 3000, 15_000);
}
