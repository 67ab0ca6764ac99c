package org.oriolewind.time;

import java.time.InstantSource;

/**
 * Source of wall time and of monotonic time. Implementations are safe for use by several threads.
 */
public interface NodeClock extends InstantSource {
    /**
     * Returns monotonic time, which never goes back and is unrelated to wall time.
     *
     * @return nanoseconds since an arbitrary origin
     */
    long monotonicNanos();

    /**
     * Returns monotonic time in milliseconds.
     *
     * @return milliseconds since an arbitrary origin
     */
    default long monotonicMillis() {
        return monotonicNanos() / 1_000_000L;
    }
}
