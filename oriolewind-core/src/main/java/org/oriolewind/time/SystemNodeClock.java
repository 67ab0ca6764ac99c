package org.oriolewind.time;

import java.time.Instant;

/** The operating system's clocks. Stateless, so thread-safe. */
public final class SystemNodeClock implements NodeClock {
    @Override
    public Instant instant() {
        return Instant.now();
    }

    @Override
    public long monotonicNanos() {
        return System.nanoTime();
    }
}
