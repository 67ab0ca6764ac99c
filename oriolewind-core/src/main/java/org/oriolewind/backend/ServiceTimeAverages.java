package org.oriolewind.backend;

import java.util.HashMap;
import java.util.Map;

/** Moving averages of the time in the backend server. Not safe for use by several threads. */
public final class ServiceTimeAverages {
    /** Weight of the latest sample: a change of speed shows after about ten answers. */
    private static final double LATEST_WEIGHT = 0.15;

    /** Assumed before the first answer, in microseconds: the order of a typical request. */
    private static final double INITIAL_MICROS = 150_000;

    private final Map<String, Double> mByRoute = new HashMap<>();
    private final Map<String, Long> mSampledMillis = new HashMap<>();
    private double mMean = INITIAL_MICROS;
    private boolean mAny;

    /**
     * Takes a sample.
     *
     * @param route the route's name
     * @param micros time in the backend server
     * @param nowMillis monotonic time
     */
    public void add(String route, long micros, long nowMillis) {
        mSampledMillis.put(route, nowMillis);
        mByRoute.merge(route, (double) micros, (old, latest) -> blend(old, latest));
        mMean = mAny ? blend(mMean, micros) : micros;
        mAny = true;
    }

    private static double blend(double old, double latest) {
        return old + (latest - old) * LATEST_WEIGHT;
    }

    /**
     * Returns whether the average of a route has had no sample since a moment.
     *
     * @param route the route's name
     * @param sinceMillis the moment, monotonic time
     * @return true if its latest sample is older, or there is none
     */
    public boolean isOlderThan(String route, long sinceMillis) {
        return mSampledMillis.getOrDefault(route, Long.MIN_VALUE) < sinceMillis;
    }

    /**
     * Drops the average of a route, so that the next sample replaces it.
     *
     * @param route the route's name
     */
    public void forget(String route) {
        mByRoute.remove(route);
    }

    /**
     * Returns the average time of a route.
     *
     * @param route the route's name
     * @return milliseconds
     */
    public long millis(String route) {
        return (long) (mByRoute.getOrDefault(route, mMean) / 1000);
    }

    /**
     * Returns the average over all routes.
     *
     * @return microseconds, 0 before the first sample
     */
    public long meanMicros() {
        return mAny ? (long) mMean : 0;
    }
}
