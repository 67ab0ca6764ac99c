package org.oriolewind.analysis;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.oriolewind.config.Move;
import org.oriolewind.event.Event;
import org.oriolewind.event.EventKind;
import org.oriolewind.event.EventSink;

/**
 * Versions to which this node sends no calls because its own calls to them failed. A single node
 * may only stop calls to a new version, which is the safe direction, and never increase its share;
 * a stop lasts until the move takes its next step or ends. Thread-safe.
 */
public final class LocalVersionStops {
    private static final double MIN_FAILURE_RISE = 0.05;

    private final EventSink mEvents;
    private final Map<String, StepCounts> mStepsByService = new ConcurrentHashMap<>();

    /**
     * Creates an object without any stops.
     *
     * @param events receives {@code LOCAL_STOP} events
     */
    public LocalVersionStops(EventSink events) {
        mEvents = events;
    }

    /** Failures and calls by key that this node counted during one step of a move. */
    private static final class StepCounts {
        final int mStage;
        final Map<EvidenceKey, long[]> mCounts = new HashMap<>();
        volatile boolean mStopped;

        StepCounts(int stage) {
            mStage = stage;
        }

        Proportion proportion(EvidenceKey key) {
            long[] counts = mCounts.getOrDefault(key, new long[2]);
            return new Proportion(counts[0], counts[1]);
        }
    }

    /**
     * Returns whether this node has stopped its calls to the new version of a move.
     *
     * @param move the move, in progress
     * @return true if the old version has to be used
     */
    public boolean isStopped(Move move) {
        StepCounts step = mStepsByService.get(move.service());
        return step != null && step.mStage == move.stage() && step.mStopped;
    }

    /**
     * Counts a call that ran, and stops further calls to the new version if it is found bad.
     *
     * @param move the move of the call's service
     * @param key the service, version and route of the call
     * @param failed whether it failed
     */
    public void onCall(Move move, EvidenceKey key, boolean failed) {
        StepCounts step =
                mStepsByService.compute(
                        move.service(),
                        (service, old) ->
                                old != null && old.mStage == move.stage()
                                        ? old
                                        : new StepCounts(move.stage()));
        boolean stop;
        synchronized (step) {
            long[] counts = step.mCounts.computeIfAbsent(key, k -> new long[2]);
            counts[0] += failed ? 1 : 0;
            counts[1]++;
            stop = failed && !step.mStopped && isBad(step, move, key);
            step.mStopped |= stop;
        }
        if (stop) {
            mEvents.record(
                    Event.ofMove(
                            EventKind.LOCAL_STOP,
                            move.note(),
                            move.service(),
                            move.to(),
                            0,
                            "fails on route " + key.route()));
        }
    }

    private static boolean isBad(StepCounts step, Move move, EvidenceKey key) {
        if (!key.version().equals(move.to())) {
            return false;
        }
        EvidenceKey old = new EvidenceKey(key.service(), move.from(), key.route());
        Verdict verdict =
                ProportionRule.SEQUENTIAL_RATIO.evaluate(
                        step.proportion(old),
                        step.proportion(key),
                        MIN_FAILURE_RISE,
                        Confidence.NORMAL);
        return verdict == Verdict.BAD;
    }
}
