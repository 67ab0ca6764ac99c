package org.oriolewind.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.oriolewind.time.NodeClock;

/**
 * Decides when this node writes an outcome. All nodes come to the same one, so they take turns by
 * rank, and the first one's write shows before the next one's turn. Not safe for use by several
 * threads.
 */
public final class OutcomeWriteSchedule {
    /** Pause between the turns of neighbouring ranks: a write and its way back. */
    private static final long RANK_PAUSE_MILLIS = 300;

    /** Time after which an outcome that has not shown is written again. */
    private static final long AGAIN_MILLIS = 1000;

    private final NodeClock mClock;
    private final Map<String, Long> mDueMillis = new HashMap<>();

    /**
     * Creates turns.
     *
     * @param clock the clock
     */
    public OutcomeWriteSchedule(NodeClock clock) {
        mClock = clock;
    }

    /**
     * Returns the outcomes to be written now. To be called several times a second.
     *
     * @param outcomes all outcomes that are due
     * @param rank how many nodes come before this one
     * @return those whose turn it is
     */
    public List<RolloutTracker.Outcome> due(List<RolloutTracker.Outcome> outcomes, int rank) {
        long now = mClock.monotonicMillis();
        mDueMillis
                .keySet()
                .removeIf(s -> outcomes.stream().noneMatch(o -> o.order().service().equals(s)));
        List<RolloutTracker.Outcome> due = new ArrayList<>();
        for (RolloutTracker.Outcome outcome : outcomes) {
            String service = outcome.order().service();
            long turn = mDueMillis.computeIfAbsent(service, s -> now + rank * RANK_PAUSE_MILLIS);
            if (now >= turn) {
                mDueMillis.put(service, now + AGAIN_MILLIS);
                due.add(outcome);
            }
        }
        return due;
    }
}
