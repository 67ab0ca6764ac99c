package org.oriolewind.spread;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.oriolewind.placement.FleetMember;
import org.oriolewind.policy.DocumentKind;
import org.oriolewind.policy.OperatorView;
import org.oriolewind.time.NodeClock;
import org.oriolewind.wire.NodeStatus;

/**
 * Decides of which kinds of documents other nodes know more, and whom to ask for them. A node of
 * the own data centre is preferred. Not safe for use by several threads.
 */
public final class DocumentCatchUp {
    /** Time in which a change commonly comes by itself. */
    private static final long BEHIND_MILLIS = 300;

    /** Time for an answer before another node may be asked. */
    private static final long ASK_AGAIN_MILLIS = 600;

    private final NodeClock mClock;
    private final String mDataCentre;
    private final LagListener mLagListener;
    private final Map<DocumentKind, Long> mDueMillis = new EnumMap<>(DocumentKind.class);
    private final Map<DocumentKind, Long> mBehindSinceMillis = new EnumMap<>(DocumentKind.class);

    /** Told how long this node was behind others. */
    public interface LagListener {
        /**
         * This node knows as much as all others again.
         *
         * @param kind the kind of documents
         * @param millis time since it heard that another node knows more
         */
        void onCaughtUp(DocumentKind kind, long millis);
    }

    /**
     * A kind to ask for.
     *
     * @param peerAddress address of the node to ask
     * @param kind the kind
     */
    public record Question(String peerAddress, DocumentKind kind) {}

    /**
     * Creates a decision.
     *
     * @param clock the clock
     * @param dataCentre the own data centre
     * @param lagListener told how long this node was behind
     */
    public DocumentCatchUp(NodeClock clock, String dataCentre, LagListener lagListener) {
        mClock = clock;
        mDataCentre = dataCentre;
        mLagListener = lagListener;
    }

    /**
     * Returns what is to be asked now. To be called several times a second.
     *
     * @param view what this node knows
     * @param heard the nodes that were heard of lately
     * @return the questions
     */
    public List<Question> due(OperatorView view, Collection<FleetMember> heard) {
        long now = mClock.monotonicMillis();
        List<Question> questions = new ArrayList<>();
        for (DocumentKind kind : DocumentKind.values()) {
            Optional<NodeStatus> ahead = mostAhead(view, kind, heard);
            if (ahead.isEmpty()) {
                mDueMillis.remove(kind);
                Optional.ofNullable(mBehindSinceMillis.remove(kind))
                        .ifPresent(since -> mLagListener.onCaughtUp(kind, now - since));
                continue;
            }
            mBehindSinceMillis.putIfAbsent(kind, now);
            if (now >= mDueMillis.computeIfAbsent(kind, k -> now + BEHIND_MILLIS)) {
                mDueMillis.put(kind, now + ASK_AGAIN_MILLIS);
                questions.add(new Question(ahead.get().getPeerAddress(), kind));
            }
        }
        return questions;
    }

    private Optional<NodeStatus> mostAhead(
            OperatorView view, DocumentKind kind, Collection<FleetMember> heard) {
        NodeStatus best = null;
        for (FleetMember member : heard) {
            NodeStatus status = member.status();
            boolean isAhead =
                    revision(status, kind) > view.revision(kind)
                            && digest(status, kind) != view.digest(kind);
            if (isAhead && (best == null || isBetter(status, best, kind))) {
                best = status;
            }
        }
        return Optional.ofNullable(best);
    }

    private boolean isBetter(NodeStatus one, NodeStatus other, DocumentKind kind) {
        if (digest(one, kind) == digest(other, kind)) {
            return isNear(one) && !isNear(other);
        }
        return revision(one, kind) > revision(other, kind);
    }

    private boolean isNear(NodeStatus status) {
        return status.getDataCentre().equals(mDataCentre);
    }

    private static long revision(NodeStatus status, DocumentKind kind) {
        return status.getDocumentRevisionsOrDefault(kind.key(), 0);
    }

    private static long digest(NodeStatus status, DocumentKind kind) {
        return status.getDocumentDigestsOrDefault(kind.key(), 0);
    }
}
