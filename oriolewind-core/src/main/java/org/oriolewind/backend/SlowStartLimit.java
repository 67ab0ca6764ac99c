package org.oriolewind.backend;

/**
 * Slow start limit: the requests that a cold backend server may receive in any second from all
 * nodes together. It is a multiple of the rate that operators configure for cold backend servers of
 * the service, plus a fixed number. Immutable.
 *
 * @param multiplier factor on the configured rate
 * @param slack requests per second added to the product
 */
public record SlowStartLimit(double multiplier, double slack) {
    /** Share of the limit that is used; the rest is reserved for requests that arrive late. */
    private static final double USED_SHARE = 0.85;

    /**
     * Returns how many requests may be forwarded in a second.
     *
     * @param coldPerSecond the configured rate for cold backend servers, in requests per second
     * @return requests per second, at least 1
     */
    public int requests(double coldPerSecond) {
        return Math.max(1, (int) ((coldPerSecond * multiplier + slack) * USED_SHARE));
    }
}
