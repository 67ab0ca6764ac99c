package org.oriolewind.time;

import java.time.Duration;
import java.time.Instant;

/** A clock that advances only when a test advances it. Not thread-safe. */
public final class FakeClock implements NodeClock {
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private long mNanos;

    /**
     * Advances wall time and monotonic time.
     *
     * @param time the time to add
     */
    public void advance(Duration time) {
        mNanos += time.toNanos();
    }

    /**
     * Advances wall time and monotonic time.
     *
     * @param millis the milliseconds to add
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
