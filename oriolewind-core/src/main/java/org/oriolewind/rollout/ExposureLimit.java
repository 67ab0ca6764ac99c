package org.oriolewind.rollout;

/**
 * Limit on the number of calls to a version that has not been found good yet. Immutable.
 *
 * @param share share of the service's calls since the order, between 0 and 1
 * @param calls number of calls that are allowed in addition
 */
public record ExposureLimit(double share, double calls) {
    /** Part of the limit that is used; the rest is for calls that nodes have not reported yet. */
    private static final double USED_SHARE = 0.7;

    boolean allows(long newCalls, long allCalls) {
        return newCalls < USED_SHARE * (share * allCalls + calls);
    }
}
