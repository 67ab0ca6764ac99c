package org.oriolewind.backend;

import java.util.ArrayDeque;

/**
 * Bounds the requests that a cold backend server gets in any second. Not safe for use by several
 * threads.
 */
public final class SlowStartLimiter {
    /**
     * The bound holds for each second in which requests arrive; a tenth more lets them arrive up to
     * that much later than they were handed over.
     */
    private static final long WINDOW_MILLIS = 1100;

    private final ArrayDeque<Long> mAdmitted = new ArrayDeque<>();

    /**
     * Counts a request that is handed over.
     *
     * @param nowMillis monotonic time
     */
    public void onAdmitted(long nowMillis) {
        forget(nowMillis);
        mAdmitted.addLast(nowMillis);
    }

    private void forget(long nowMillis) {
        while (!mAdmitted.isEmpty() && mAdmitted.peekFirst() <= nowMillis - WINDOW_MILLIS) {
            mAdmitted.removeFirst();
        }
    }

    /**
     * Returns how long a cold backend server must be spared.
     *
     * @param nowMillis monotonic time
     * @param perWindow requests that it bears in a second
     * @return 0 if it can take one now, else the time until then in milliseconds
     */
    public long waitMillis(long nowMillis, int perWindow) {
        forget(nowMillis);
        int room = Math.max(1, perWindow);
        if (mAdmitted.size() < room) {
            return 0;
        }
        int surplus = mAdmitted.size() - room;
        long leaving = 0;
        int index = 0;
        for (long admitted : mAdmitted) {
            if (index++ == surplus) {
                leaving = admitted;
                break;
            }
        }
        return Math.max(1, leaving + WINDOW_MILLIS - nowMillis);
    }
}
