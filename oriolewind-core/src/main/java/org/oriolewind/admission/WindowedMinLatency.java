package org.oriolewind.admission;

/**
 * The minimum latency of the current and the previous window. Since older windows are dropped, it
 * follows a backend server whose speed changes permanently. Not thread-safe.
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
