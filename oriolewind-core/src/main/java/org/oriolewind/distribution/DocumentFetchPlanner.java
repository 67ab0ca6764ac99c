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
 * Plans the fetches of documents from other nodes: which kind, when, and from which node. A kind is
 * fetched if another node has a later revision with different content; a node of this data centre
 * is preferred. Not thread-safe.
 */
public final class DocumentFetchPlanner {
    /** Time for the leader to push a change before it is fetched. */
    private static final long PUSH_WAIT_MILLIS = 300;

    /**
     * Time without an answer before a fetch is retried; doubles, as network links may be saturated.
     */
    private static final long RETRY_MILLIS = 600;

    private static final long MAX_RETRY_MILLIS = 2400;

    /** A change that other nodes have and this node lacks. */
    private static final class Lag {
        final long mRevision;
        final long mSinceMillis;
        long mDueMillis;
        long mRetryDelayMillis = RETRY_MILLIS;

        Lag(long revision, long now) {
            mRevision = revision;
            mSinceMillis = now;
            mDueMillis = now + PUSH_WAIT_MILLIS;
        }
    }

    private final NodeClock mClock;
    private final RandomGenerator mRandom;
    private final String mDataCentre;
    private final LagListener mLagListener;
    private final Map<DocumentKind, Lag> mLags = new EnumMap<>(DocumentKind.class);

    /** Receives the time for which this node lagged behind others. */
    public interface LagListener {
        /**
         * Called when this node has received a change that another node had before.
         *
         * @param kind the kind of documents that changed
         * @param millis time since this node found in a status that another node has the change
         */
        void onCaughtUp(DocumentKind kind, long millis);
    }

    /**
     * A request to make for all documents of one kind.
     *
     * @param peerAddress peer address of the node to fetch from
     * @param kind the kind to fetch
     */
    public record FetchRequest(String peerAddress, DocumentKind kind) {}

    /**
     * Creates a planner for one node, which lags in no kind at first.
     *
     * @param clock source of monotonic time
     * @param random selects among the nodes with the latest content
     * @param dataCentre name of this node's data centre
     * @param lagListener called on the thread of {@link #dueRequests}
     */
    public DocumentFetchPlanner(
            NodeClock clock, RandomGenerator random, String dataCentre, LagListener lagListener) {
        mClock = clock;
        mRandom = random;
        mDataCentre = dataCentre;
        mLagListener = lagListener;
    }

    /**
     * Returns the requests to make now, at most one per kind. The caller polls this several times a
     * second.
     *
     * @param documents the documents that this node has
     * @param reachableMembers the reachable nodes
     * @return the requests, empty if nothing is to be fetched
     */
    public List<FetchRequest> dueRequests(
            OperatorDocumentCache documents, Collection<FleetMember> reachableMembers) {
        List<FetchRequest> requests = new ArrayList<>();
        for (DocumentKind kind : DocumentKind.values()) {
            List<NodeStatus> ahead = latest(documents, kind, reachableMembers);
            if (isDue(kind, documents, ahead)) {
                NodeStatus source = ahead.get(mRandom.nextInt(ahead.size()));
                requests.add(new FetchRequest(source.getPeerAddress(), kind));
            }
        }
        return requests;
    }

    /** Returns whether to fetch now. While pushed changes keep arriving, nothing is fetched. */
    private boolean isDue(
            DocumentKind kind, OperatorDocumentCache documents, List<NodeStatus> ahead) {
        long now = mClock.monotonicMillis();
        Lag lag = mLags.get(kind);
        if (lag != null && (ahead.isEmpty() || documents.revision(kind) >= lag.mRevision)) {
            mLags.remove(kind);
            mLagListener.onCaughtUp(kind, now - lag.mSinceMillis);
        }
        if (ahead.isEmpty()) {
            return false;
        }
        long revision = ReportedDocuments.revision(ahead.get(0), kind);
        Lag current = mLags.computeIfAbsent(kind, k -> new Lag(revision, now));
        if (now < current.mDueMillis) {
            return false;
        }
        current.mDueMillis = now + current.mRetryDelayMillis;
        current.mRetryDelayMillis = Math.min(MAX_RETRY_MILLIS, 2 * current.mRetryDelayMillis);
        return true;
    }

    /**
     * Returns the nodes with the latest content, only those of this data centre if there are any.
     */
    private List<NodeStatus> latest(
            OperatorDocumentCache documents,
            DocumentKind kind,
            Collection<FleetMember> reachableMembers) {
        List<NodeStatus> ahead =
                reachableMembers.stream()
                        .map(FleetMember::status)
                        .filter(status -> isAhead(status, documents, kind))
                        .toList();
        long newestRevision =
                ahead.stream().mapToLong(s -> ReportedDocuments.revision(s, kind)).max().orElse(0);
        Optional<NodeStatus> newest =
                ahead.stream()
                        .filter(s -> ReportedDocuments.revision(s, kind) == newestRevision)
                        .findFirst();
        if (newest.isEmpty()) {
            return List.of();
        }
        List<NodeStatus> sameContent =
                ahead.stream()
                        .filter(
                                s ->
                                        ReportedDocuments.digest(s, kind)
                                                == ReportedDocuments.digest(newest.get(), kind))
                        .toList();
        List<NodeStatus> local = sameContent.stream().filter(this::isLocal).toList();
        return local.isEmpty() ? sameContent : local;
    }

    private static boolean isAhead(
            NodeStatus status, OperatorDocumentCache documents, DocumentKind kind) {
        return ReportedDocuments.revision(status, kind) > documents.revision(kind)
                && ReportedDocuments.digest(status, kind) != documents.digest(kind);
    }

    private boolean isLocal(NodeStatus status) {
        return status.getDataCentre().equals(mDataCentre);
    }
}
