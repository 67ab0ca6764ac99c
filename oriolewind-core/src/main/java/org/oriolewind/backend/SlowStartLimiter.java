package org.oriolewind.backend;

import java.util.ArrayDeque;

/**
 * Sliding-window rate limiter for a cold backend server: limits the requests that it receives in
 * any second. Not thread-safe.
 */
public final class SlowStartLimiter {
    /**
     * The limit holds for each second of arrivals at the backend server. The window is a tenth
     * longer, because requests may arrive up to that much later than they were forwarded.
     */
    private static final long WINDOW_MILLIS = 1100;

    private final ArrayDeque<Long> mAdmittedMillis = new ArrayDeque<>();

    /**
     * Counts a request that is forwarded to the backend server, cold or not.
     *
     * @param nowMillis monotonic time
     */
    public void onAdmitted(long nowMillis) {
        removeExpired(nowMillis);
        mAdmittedMillis.addLast(nowMillis);
    }

    private void removeExpired(long nowMillis) {
        while (!mAdmittedMillis.isEmpty()
                && mAdmittedMillis.peekFirst() <= nowMillis - WINDOW_MILLIS) {
            mAdmittedMillis.removeFirst();
        }
    }

    /**
     * Returns how long the next request must wait.
     *
     * @param nowMillis monotonic time
     * @param maxRequests requests allowed in a window; less than 1 counts as 1
     * @return milliseconds until a request may be forwarded, 0 if it may be now
     */
    public long waitMillis(long nowMillis, int maxRequests) {
        removeExpired(nowMillis);
        int limit = Math.max(1, maxRequests);
        if (mAdmittedMillis.size() < limit) {
            return 0;
        }
        int surplus = mAdmittedMillis.size() - limit;
        long releasingMillis = 0;
        int index = 0;
        for (long admittedMillis : mAdmittedMillis) {
            if (index++ == surplus) {
                releasingMillis = admittedMillis;
                break;
            }
        }
        return Math.max(1, releasingMillis + WINDOW_MILLIS - nowMillis);
    }
}
