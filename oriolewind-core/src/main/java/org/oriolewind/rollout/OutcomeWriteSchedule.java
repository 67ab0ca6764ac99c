package org.oriolewind.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.oriolewind.time.NodeClock;

/**
 * Decides when this node writes an outcome to the platform. All nodes come to the same outcome, so
 * their writes are staggered by rank: the write of the first node is normally visible before the
 * next one is due. Not thread-safe.
 */
public final class OutcomeWriteSchedule {
    /** Delay between neighbouring ranks: time for a write and for its update to arrive. */
    private static final long RANK_DELAY_MILLIS = 300;

    /** Time after which the write of an outcome that is not visible yet is retried. */
    private static final long RETRY_MILLIS = 1000;

    private final NodeClock mClock;
    private final Map<String, Long> mDueMillis = new HashMap<>();

    /**
     * Creates a schedule without any writes.
     *
     * @param clock the clock, of which the monotonic time is used
     */
    public OutcomeWriteSchedule(NodeClock clock) {
        mClock = clock;
    }

    /**
     * Returns the outcomes that this node has to write now. To be called several times a second.
     *
     * @param outcomes all outcomes that are not visible yet
     * @param rank the number of nodes that write before this one, at least 0
     * @return the outcomes that are due, empty if there are none
     */
    public List<RolloutTracker.Outcome> dueOutcomes(
            List<RolloutTracker.Outcome> outcomes, int rank) {
        long now = mClock.monotonicMillis();
        mDueMillis
                .keySet()
                .removeIf(s -> outcomes.stream().noneMatch(o -> o.spec().service().equals(s)));
        List<RolloutTracker.Outcome> due = new ArrayList<>();
        for (RolloutTracker.Outcome outcome : outcomes) {
            String service = outcome.spec().service();
            long dueMillis =
                    mDueMillis.computeIfAbsent(service, s -> now + rank * RANK_DELAY_MILLIS);
            if (now >= dueMillis) {
                mDueMillis.put(service, now + RETRY_MILLIS);
                due.add(outcome);
            }
        }
        return due;
    }
}
