package org.oriolewind.rollout;

/**
 * How many calls may reach a version that is not yet known to be good. Immutable.
 *
 * @param share share of the service's calls since the order
 * @param calls calls besides
 */
public record ExposureLimit(double share, double calls) {
    /** Part of the bound that is used; the rest is for calls whose counts are under way. */
    private static final double USED_PART = 0.7;

    boolean allows(long newCalls, long allCalls) {
        return newCalls < USED_PART * (share * allCalls + calls);
    }
}
