package org.oriolewind.backend;

/**
 * What operators let a cold backend server bear in any second, from all nodes together: a multiple
 * of the rate that they name for its service, and a fixed number besides. Immutable.
 *
 * @param multiplier factor on the service's cold rate
 * @param slack requests a second besides
 */
public record SlowStartLimit(double multiplier, double slack) {
    /** Share of the bound that is used; the rest is for requests that arrive late. */
    private static final double USED_SHARE = 0.85;

    /**
     * Returns the requests that may be handed over in a second.
     *
     * @param coldPerSecond the service's cold rate
     * @return the number, at least 1
     */
    public int requests(double coldPerSecond) {
        return Math.max(1, (int) ((coldPerSecond * multiplier + slack) * USED_SHARE));
    }
}
