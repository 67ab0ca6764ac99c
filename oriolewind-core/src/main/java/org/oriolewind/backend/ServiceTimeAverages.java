package org.oriolewind.backend;

import java.util.HashMap;
import java.util.Map;

/**
 * Exponential moving averages of the service time in the backend server, by route and over all
 * routes. Not thread-safe.
 */
public final class ServiceTimeAverages {
    /** Weight of the latest sample: a change of speed shows after about ten answers. */
    private static final double LATEST_WEIGHT = 0.15;

    /** Estimate before the first answer, the order of magnitude of a typical request. */
    private static final double INITIAL_MICROS = 150_000;

    private final Map<String, Double> mByRoute = new HashMap<>();
    private final Map<String, Long> mLastSampleMillis = new HashMap<>();
    private double mMean = INITIAL_MICROS;
    private boolean mHasSample;

    /**
     * Adds a sample to the averages.
     *
     * @param route name of the route
     * @param micros service time, in microseconds
     * @param nowMillis monotonic time of the sample
     */
    public void add(String route, long micros, long nowMillis) {
        mLastSampleMillis.put(route, nowMillis);
        mByRoute.merge(route, (double) micros, (average, latest) -> movingAverage(average, latest));
        mMean = mHasSample ? movingAverage(mMean, micros) : micros;
        mHasSample = true;
    }

    private static double movingAverage(double average, double latest) {
        return average + (latest - average) * LATEST_WEIGHT;
    }

    /**
     * Returns whether the average of a route has had no sample since a given time.
     *
     * @param route name of the route
     * @param sinceMillis monotonic time
     * @return true if its latest sample is older, or if it has none
     */
    public boolean isOlderThan(String route, long sinceMillis) {
        return mLastSampleMillis.getOrDefault(route, Long.MIN_VALUE) < sinceMillis;
    }

    /**
     * Discards the average of a route, so that the next sample replaces it. Until then the average
     * over all routes is used.
     *
     * @param route name of the route
     */
    public void discard(String route) {
        mByRoute.remove(route);
    }

    /**
     * Returns the average service time of a route.
     *
     * @param route name of the route
     * @return milliseconds; the average over all routes if the route has no sample, 150 before the
     *     first sample of any route
     */
    public long millis(String route) {
        return (long) (mByRoute.getOrDefault(route, mMean) / 1000);
    }

    /**
     * Returns the average service time over all routes.
     *
     * @return microseconds, 0 before the first sample
     */
    public long meanMicros() {
        return mHasSample ? (long) mMean : 0;
    }
}
