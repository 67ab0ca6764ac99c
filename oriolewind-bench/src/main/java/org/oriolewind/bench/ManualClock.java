package org.oriolewind.bench;

import java.time.Instant;
import org.oriolewind.time.NodeClock;

/** Clock whose time is set by a simulation. Not thread-safe. */
final class ManualClock implements NodeClock {
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private long mNanos;

    void setNanos(long nanos) {
        mNanos = nanos;
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
