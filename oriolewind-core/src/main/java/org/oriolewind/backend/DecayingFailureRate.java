package org.oriolewind.backend;

/**
 * Exponential moving average of the share of recent calls that failed. It decays with time, so that
 * a backend server that receives no calls because of its failures is tried again. Not thread-safe.
 */
public final class DecayingFailureRate {
    /** Weight of the latest call. */
    private static final double LATEST_WEIGHT = 0.15;

    /** Half-life of the rate without calls: faults commonly last some seconds. */
    private static final double HALF_LIFE_MILLIS = 2000;

    private double mRate;
    private long mUpdatedMillis;

    /**
     * Adds the end of a call.
     *
     * @param failed whether it failed
     * @param nowMillis monotonic time
     */
    public void add(boolean failed, long nowMillis) {
        mRate = rate(nowMillis);
        mRate += ((failed ? 1 : 0) - mRate) * LATEST_WEIGHT;
        mUpdatedMillis = nowMillis;
    }

    /**
     * Returns the failure rate, decayed to the given time.
     *
     * @param nowMillis monotonic time
     * @return 0 to 1
     */
    public double rate(long nowMillis) {
        return mRate * Math.pow(0.5, (nowMillis - mUpdatedMillis) / HALF_LIFE_MILLIS);
    }
}
