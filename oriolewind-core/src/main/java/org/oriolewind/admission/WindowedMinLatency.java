package org.oriolewind.admission;

/**
 * The shortest latency of the current and the previous window, so that it follows a backend server
 * whose pace changes for good. Not safe for use by several threads.
 */
final class WindowedMinLatency {
    private static final long WINDOW_MILLIS = 30_000;

    private long mWindowStartMillis = Long.MIN_VALUE / 2;
    private long mCurrentMicros = Long.MAX_VALUE;
    private long mPreviousMicros = Long.MAX_VALUE;

    long update(long latencyMicros, long nowMillis) {
        if (nowMillis - mWindowStartMillis >= WINDOW_MILLIS) {
            mPreviousMicros = mCurrentMicros;
            mCurrentMicros = Long.MAX_VALUE;
            mWindowStartMillis = nowMillis;
        }
        mCurrentMicros = Math.min(mCurrentMicros, latencyMicros);
        return Math.min(mCurrentMicros, mPreviousMicros);
    }
}
