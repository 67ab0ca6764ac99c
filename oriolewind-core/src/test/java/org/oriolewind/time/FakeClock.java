package org.oriolewind.time;

import java.time.Duration;
import java.time.Instant;

/** A clock that stands still until it is moved. Not safe for use by several threads. */
public final class FakeClock implements NodeClock {
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private long mNanos;

    /**
     * Moves the clock.
     *
     * @param time how far
     */
    public void advance(Duration time) {
        mNanos += time.toNanos();
    }

    /**
     * Moves the clock.
     *
     * @param millis how far
     */
    public void advanceMillis(long millis) {
        mNanos += millis * 1_000_000L;
    }

    @Override
    public Instant instant() {
        return START.plusNanos(mNanos);
    }

    @Override
    public long monotonicNanos() {
        return mNanos;
    }
}
