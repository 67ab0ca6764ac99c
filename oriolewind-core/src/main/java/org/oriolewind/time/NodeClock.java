package org.oriolewind.time;

import java.time.InstantSource;

/** Source of wall time and of monotonic time. Implementations are thread-safe. */
public interface NodeClock extends InstantSource {
    /**
     * Returns monotonic time, which never decreases and is unrelated to wall time.
     *
     * @return nanoseconds since an arbitrary origin, which differs between processes
     */
    long monotonicNanos();

    /**
     * Returns monotonic time in milliseconds, rounded down.
     *
     * @return milliseconds since the origin of {@link #monotonicNanos()}
     */
    default long monotonicMillis() {
        return monotonicNanos() / 1_000_000L;
    }
}
