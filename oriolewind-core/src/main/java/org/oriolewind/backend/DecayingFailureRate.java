package org.oriolewind.backend;

/**
 * Share of late calls that failed. It fades with time, so that a backend server that gets no calls
 * because it failed is tried again. Not safe for use by several threads.
 */
public final class DecayingFailureRate {
    /** Weight of the latest call. */
    private static final double LATEST_WEIGHT = 0.15;

    /** Time in which the share halves without calls: trouble commonly lasts some seconds. */
    private static final double HALF_LIFE_MILLIS = 2000;

    private double mShare;
    private long mUpdatedMillis;

    /**
     * Takes the end of a call.
     *
     * @param failed whether it failed
     * @param nowMillis monotonic time
     */
    public void add(boolean failed, long nowMillis) {
        mShare = share(nowMillis);
        mShare += ((failed ? 1 : 0) - mShare) * LATEST_WEIGHT;
        mUpdatedMillis = nowMillis;
    }

    /**
     * Returns the share.
     *
     * @param nowMillis monotonic time
     * @return 0 to 1
     */
    public double share(long nowMillis) {
        return mShare * Math.pow(0.5, (nowMillis - mUpdatedMillis) / HALF_LIFE_MILLIS);
    }
}
