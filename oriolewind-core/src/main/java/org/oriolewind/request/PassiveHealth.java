package org.oriolewind.request;

import org.oriolewind.time.NodeClock;

/**
 * Passive health of the backend server: what the outcomes of calls show of its state. A recent
 * answer outweighs failed health checks, and a refusal as draining outweighs a successful one.
 * Thread-safe.
 */
public final class PassiveHealth {
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final NodeClock mClock;
    private volatile long mAnsweredMillis = NEVER;
    private volatile long mDrainingMillis = NEVER;
    private volatile long mUnreachableMillis = NEVER;

    /**
     * Creates a state in which no call has ended yet.
     *
     * @param clock dates the outcomes with its monotonic time
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
     * Returns whether the backend server answered a call recently.
     *
     * @param withinMillis length of the period that ends now
     * @return true if it did, and no later call found it unreachable
     */
    public boolean hasAnsweredWithin(long withinMillis) {
        return mAnsweredMillis > mUnreachableMillis
                && mClock.monotonicMillis() - mAnsweredMillis <= withinMillis;
    }

    /**
     * Returns whether the backend server recently refused a call because it is draining.
     *
     * @param withinMillis length of the period that ends now
     */
    public boolean hasReportedDrainingWithin(long withinMillis) {
        return mClock.monotonicMillis() - mDrainingMillis <= withinMillis;
    }
}
