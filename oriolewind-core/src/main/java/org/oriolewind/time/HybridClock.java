package org.oriolewind.time;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Hybrid logical clock. A timestamp holds milliseconds of wall time in its upper 48 bits and a
 * counter in its lower 16 bits.
 *
 * <p>Invariant: timestamps of one clock strictly increase, and each is greater than any that the
 * clock observed before. Thread-safe.
 */
public final class HybridClock {
    private static final int COUNTER_BITS = 16;

    private final NodeClock mClock;
    private final AtomicLong mLast = new AtomicLong();

    /**
     * Creates a clock that has observed no timestamp yet.
     *
     * @param clock the source of wall time; it may step back, timestamps do not
     */
    public HybridClock(NodeClock clock) {
        mClock = clock;
    }

    /**
     * Returns a new timestamp for a local event or an outgoing message.
     *
     * @return a timestamp greater than all that this clock returned or observed before
     */
    public long next() {
        long wall = mClock.millis() << COUNTER_BITS;
        return mLast.updateAndGet(last -> Math.max(last + 1, wall));
    }

    /**
     * Advances this clock past a timestamp that was received from another process.
     *
     * @param remote the received timestamp; one that is not later has no effect
     */
    public void observe(long remote) {
        mLast.accumulateAndGet(remote, Math::max);
    }

    /**
     * Returns the wall time in the upper bits of a timestamp.
     *
     * @param timestamp a timestamp of any node's hybrid clock
     * @return milliseconds since the Unix epoch
     */
    public static long wallMillis(long timestamp) {
        return timestamp >>> COUNTER_BITS;
    }
}
