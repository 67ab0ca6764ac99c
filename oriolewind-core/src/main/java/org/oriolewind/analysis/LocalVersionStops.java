package org.oriolewind.analysis;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.oriolewind.config.Move;
import org.oriolewind.event.Event;
import org.oriolewind.event.EventKind;
import org.oriolewind.event.EventSink;

/**
 * Versions that this node has stopped sending to because it saw them fail itself. Only the safe
 * direction is decided here: a stop lasts until the move takes another step or ends. Safe for use
 * by several threads.
 */
public final class LocalVersionStops {
    private static final double FAILURE_HARM = 0.05;

    private final EventSink mEvents;
    private final Map<String, Watched> mMoves = new ConcurrentHashMap<>();

    /**
     * Creates an object without stops.
     *
     * @param events takes events
     */
    public LocalVersionStops(EventSink events) {
        mEvents = events;
    }

    /** What this node saw of one step of a move. */
    private static final class Watched {
        final int mStage;
        final Map<EvidenceKey, long[]> mCounts = new HashMap<>();
        volatile boolean mStopped;

        Watched(int stage) {
            mStage = stage;
        }

        Proportion proportion(EvidenceKey key) {
            long[] counts = mCounts.getOrDefault(key, new long[2]);
            return new Proportion(counts[0], counts[1]);
        }
    }

    /**
     * Returns whether calls to the new version of a move are stopped.
     *
     * @param move the move, in progress
     * @return true if this node shall not send to it
     */
    public boolean isStopped(Move move) {
        Watched watched = mMoves.get(move.service());
        return watched != null && watched.mStage == move.stage() && watched.mStopped;
    }

    /**
     * Counts a call that ran.
     *
     * @param move the move of the call's service
     * @param key what the call belongs to
     * @param failed whether it failed
     */
    public void onCall(Move move, EvidenceKey key, boolean failed) {
        Watched watched =
                mMoves.compute(
                        move.service(),
                        (service, old) ->
                                old != null && old.mStage == move.stage()
                                        ? old
                                        : new Watched(move.stage()));
        boolean stop;
        synchronized (watched) {
            long[] counts = watched.mCounts.computeIfAbsent(key, k -> new long[2]);
            counts[0] += failed ? 1 : 0;
            counts[1]++;
            stop = failed && !watched.mStopped && isBad(watched, move, key);
            watched.mStopped |= stop;
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

    private static boolean isBad(Watched watched, Move move, EvidenceKey key) {
        if (!key.version().equals(move.to())) {
            return false;
        }
        EvidenceKey old = new EvidenceKey(key.service(), move.from(), key.route());
        Verdict verdict =
                ProportionRule.SEQUENTIAL_RATIO.judge(
                        watched.proportion(old),
                        watched.proportion(key),
                        FAILURE_HARM,
                        Confidence.NORMAL);
        return verdict == Verdict.BAD;
    }
}
