package org.oriolewind.request;

import org.oriolewind.time.NodeClock;

/**
 * What calls show of the backend server's state, which goes before what its health endpoint says.
 * Safe for use by several threads.
 */
public final class PassiveHealth {
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final NodeClock mClock;
    private volatile long mAnsweredMillis = NEVER;
    private volatile long mDrainingMillis = NEVER;
    private volatile long mUnreachableMillis = NEVER;

    /**
     * Creates signals.
     *
     * @param clock the clock
     */
    public PassiveHealth(NodeClock clock) {
        mClock = clock;
    }

    void onAnswered() {
        mAnsweredMillis = mClock.monotonicMillis();
    }

    void onDraining() {
        mDrainingMillis = mClock.monotonicMillis();
    }

    void onUnreachable() {
        mUnreachableMillis = mClock.monotonicMillis();
    }

    /**
     * Returns whether a call was answered lately.
     *
     * @param withinMillis how far back to look
     * @return true if so, and no later call found the backend server unreachable
     */
    public boolean answeredWithin(long withinMillis) {
        return mAnsweredMillis > mUnreachableMillis
                && mClock.monotonicMillis() - mAnsweredMillis <= withinMillis;
    }

    /**
     * Returns whether the backend server refused a call lately because it drains.
     *
     * @param withinMillis how far back to look
     * @return true if so
     */
    public boolean drainingWithin(long withinMillis) {
        return mClock.monotonicMillis() - mDrainingMillis <= withinMillis;
    }
}
