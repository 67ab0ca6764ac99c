package org.oriolewind.distribution;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.oriolewind.loadbalancing.FleetMember;
import org.oriolewind.policy.DocumentKind;
import org.oriolewind.policy.OperatorDocumentCache;
import org.oriolewind.time.NodeClock;
import org.oriolewind.wire.NodeStatus;

/**
 * Decides of which kinds of documents other nodes know more, and whom to ask for them. A node of
 * the own data centre is preferred. Not safe for use by several threads.
 */
public final class DocumentCatchUp {
    /** Time in which a change commonly comes by itself. */
    private static final long BEHIND_MILLIS = 300;

    /** Time for an answer before another node is asked; doubles, as links may be full. */
    private static final long ASK_AGAIN_MILLIS = 600;

    private static final long MAX_ASK_AGAIN_MILLIS = 2400;

    /** What is known of a change that others have and this node has not. */
    private static final class Lag {
        final long mRevision;
        final long mSinceMillis;
        long mDueMillis;
        long mPauseMillis = ASK_AGAIN_MILLIS;

        Lag(long revision, long now) {
            mRevision = revision;
            mSinceMillis = now;
            mDueMillis = now + BEHIND_MILLIS;
        }
    }

    private final NodeClock mClock;
    private final RandomGenerator mRandom;
    private final String mDataCentre;
    private final LagListener mLagListener;
    private final Map<DocumentKind, Lag> mLags = new EnumMap<>(DocumentKind.class);

    /** Told how long this node was behind others. */
    public interface LagListener {
        /**
         * This node has a change that others knew before.
         *
         * @param kind the kind of documents
         * @param millis time since it heard that another node has it
         */
        void onCaughtUp(DocumentKind kind, long millis);
    }

    /**
     * A kind to ask for.
     *
     * @param peerAddress address of the node to ask
     * @param kind the kind
     */
    public record FetchRequest(String peerAddress, DocumentKind kind) {}

    /**
     * Creates a decision.
     *
     * @param clock the clock
     * @param random source of choices
     * @param dataCentre the own data centre
     * @param lagListener told how long this node was behind
     */
    public DocumentCatchUp(
            NodeClock clock, RandomGenerator random, String dataCentre, LagListener lagListener) {
        mClock = clock;
        mRandom = random;
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
    public List<FetchRequest> due(OperatorDocumentCache view, Collection<FleetMember> heard) {
        List<FetchRequest> questions = new ArrayList<>();
        for (DocumentKind kind : DocumentKind.values()) {
            List<NodeStatus> ahead = mostAhead(view, kind, heard);
            if (isDue(kind, view, ahead)) {
                NodeStatus asked = ahead.get(mRandom.nextInt(ahead.size()));
                questions.add(new FetchRequest(asked.getPeerAddress(), kind));
            }
        }
        return questions;
    }

    /** While changes keep coming by themselves, nobody is asked. */
    private boolean isDue(DocumentKind kind, OperatorDocumentCache view, List<NodeStatus> ahead) {
        long now = mClock.monotonicMillis();
        Lag lag = mLags.get(kind);
        if (lag != null && (ahead.isEmpty() || view.revision(kind) >= lag.mRevision)) {
            mLags.remove(kind);
            mLagListener.onCaughtUp(kind, now - lag.mSinceMillis);
        }
        if (ahead.isEmpty()) {
            return false;
        }
        long revision = KnownDocuments.revision(ahead.get(0), kind);
        Lag current = mLags.computeIfAbsent(kind, k -> new Lag(revision, now));
        if (now < current.mDueMillis) {
            return false;
        }
        current.mDueMillis = now + current.mPauseMillis;
        current.mPauseMillis = Math.min(MAX_ASK_AGAIN_MILLIS, 2 * current.mPauseMillis);
        return true;
    }

    /** Returns the nodes that know most, of the own data centre if there are any. */
    private List<NodeStatus> mostAhead(
            OperatorDocumentCache view, DocumentKind kind, Collection<FleetMember> heard) {
        List<NodeStatus> ahead =
                heard.stream()
                        .map(FleetMember::status)
                        .filter(status -> isAhead(status, view, kind))
                        .toList();
        long most = ahead.stream().mapToLong(s -> KnownDocuments.revision(s, kind)).max().orElse(0);
        Optional<NodeStatus> best =
                ahead.stream().filter(s -> KnownDocuments.revision(s, kind) == most).findFirst();
        if (best.isEmpty()) {
            return List.of();
        }
        List<NodeStatus> same =
                ahead.stream()
                        .filter(
                                s ->
                                        KnownDocuments.digest(s, kind)
                                                == KnownDocuments.digest(best.get(), kind))
                        .toList();
        List<NodeStatus> near = same.stream().filter(this::isNear).toList();
        return near.isEmpty() ? same : near;
    }

    private static boolean isAhead(
            NodeStatus status, OperatorDocumentCache view, DocumentKind kind) {
        return KnownDocuments.revision(status, kind) > view.revision(kind)
                && KnownDocuments.digest(status, kind) != view.digest(kind);
    }

    private boolean isNear(NodeStatus status) {
        return status.getDataCentre().equals(mDataCentre);
    }
}
