package org.oriolewind.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * This node's copy of the operators' documents, received from the store or from other nodes.
 *
 * <p>Invariants: the revision of a kind and the version of the policy in force never decrease
 * during the lifetime of the process, in whatever order documents arrive. The documents of a kind
 * are those that the store had at its revision, so nodes with equal revisions have equal documents.
 * Not thread-safe.
 */
public final class OperatorDocumentCache {
    /** Name of the document that holds the configuration. */
    public static final String MAIN = "main";

    /** A large odd number, so that adjacent revisions yield very different digests. */
    private static final long DIGEST_FACTOR = 0x9E3779B97F4A7C15L;

    private final PolicyDecoder mDecoder;
    private final Consumer<DocumentKind> mOnChange;
    private final Map<DocumentKind, TreeMap<String, OperatorDocument>> mDocuments =
            new EnumMap<>(DocumentKind.class);
    private final Map<DocumentKind, Long> mRevisions = new EnumMap<>(DocumentKind.class);
    private Optional<TrafficPolicy> mPolicy = Optional.empty();
    private Map<String, RolloutSpec> mRollouts = Map.of();

    /**
     * Creates an empty cache without a policy in force.
     *
     * @param decoder decodes the documents' contents
     * @param onChange called with each kind whose documents have changed
     */
    public OperatorDocumentCache(PolicyDecoder decoder, Consumer<DocumentKind> onChange) {
        mDecoder = decoder;
        mOnChange = onChange;
        for (DocumentKind kind : DocumentKind.values()) {
            mDocuments.put(kind, new TreeMap<>());
        }
    }

    /**
     * Replaces all documents of a kind. Ignored unless the documents are newer than the present
     * ones.
     *
     * @param asOfRevision the store revision at which the documents were read
     * @param documents all documents of the kind
     */
    public void replace(
            DocumentKind kind, long asOfRevision, Collection<OperatorDocument> documents) {
        if (asOfRevision <= revision(kind)) {
            return;
        }
        TreeMap<String, OperatorDocument> replacement = new TreeMap<>();
        documents.forEach(d -> replacement.put(d.name(), d));
        boolean changed = !replacement.equals(mDocuments.get(kind));
        mDocuments.put(kind, replacement);
        mRevisions.put(kind, asOfRevision);
        if (changed) {
            onDocumentsChanged(kind);
        }
    }

    /**
     * Applies consecutive changes of a kind, up to a store revision, as a whole. Changes that the
     * present documents already include have no effect: these may have come from another node.
     *
     * @param changes all changes of the kind after a revision up to which the present documents are
     *     complete, in the order of the store; possibly none
     * @param asOfRevision the store revision up to which the changes are complete
     */
    public void apply(DocumentKind kind, List<DocumentChange> changes, long asOfRevision) {
        long presentRevision = revision(kind);
        if (asOfRevision <= presentRevision || changes.isEmpty()) {
            return;
        }
        TreeMap<String, OperatorDocument> documents = mDocuments.get(kind);
        boolean changed = false;
        for (DocumentChange change : changes) {
            changed |= applyOne(documents, change, presentRevision);
        }
        mRevisions.put(kind, asOfRevision);
        if (changed) {
            onDocumentsChanged(kind);
        }
    }

    /**
     * Applies one change to documents that were complete at a revision before their latest changes.
     * A deletion has no revision of its own, but a document that was created again after it has a
     * later one than the document that was deleted.
     */
    private static boolean applyOne(
            TreeMap<String, OperatorDocument> documents,
            DocumentChange change,
            long completeRevision) {
        OperatorDocument document = change.document();
        OperatorDocument present = documents.get(document.name());
        if (change.deleted()) {
            boolean current = present != null && present.revision() <= document.revision();
            return current && documents.remove(document.name()) != null;
        }
        boolean outdated =
                document.revision() <= completeRevision
                        || present != null && present.revision() >= document.revision();
        if (!outdated) {
            documents.put(document.name(), document);
        }
        return !outdated;
    }

    private void onDocumentsChanged(DocumentKind kind) {
        switch (kind) {
            case CONFIG -> decodePolicy();
            case ROLLOUT -> decodeRollouts();
            default -> {
                // Evacuations consist of the documents' names only.
            }
        }
        mOnChange.accept(kind);
    }

    private void decodePolicy() {
        Optional<TrafficPolicy> decoded =
                Optional.ofNullable(mDocuments.get(DocumentKind.CONFIG).get(MAIN))
                        .flatMap(mDecoder::policy);
        long versionInForce = mPolicy.map(TrafficPolicy::version).orElse(Long.MIN_VALUE);
        if (decoded.isPresent() && decoded.get().version() > versionInForce) {
            mPolicy = decoded;
        }
    }

    private void decodeRollouts() {
        Map<String, RolloutSpec> rollouts = new TreeMap<>();
        for (OperatorDocument document : mDocuments.get(DocumentKind.ROLLOUT).values()) {
            mDecoder.rollout(document).ifPresent(r -> rollouts.put(r.service(), r));
        }
        mRollouts = rollouts;
    }

    /**
     * Returns the store revision up to which this node has the documents of a kind.
     *
     * @return the revision, 0 before any documents have arrived
     */
    public long revision(DocumentKind kind) {
        return mRevisions.getOrDefault(kind, 0L);
    }

    /**
     * Returns a digest of the names and revisions of a kind's documents. Nodes with the same
     * documents have the same digest.
     */
    public long digest(DocumentKind kind) {
        long digest = 1;
        for (OperatorDocument document : mDocuments.get(kind).values()) {
            digest = digest * DIGEST_FACTOR + document.name().hashCode();
            digest = digest * DIGEST_FACTOR + document.revision();
        }
        return digest;
    }

    /**
     * Returns the documents of a kind.
     *
     * @return a copy of the list, ordered by name
     */
    public List<OperatorDocument> documents(DocumentKind kind) {
        return new ArrayList<>(mDocuments.get(kind).values());
    }

    /**
     * Returns the policy in force.
     *
     * @return the policy, empty until one has been received
     */
    public Optional<TrafficPolicy> policy() {
        return mPolicy;
    }

    /**
     * Returns whether operators have evacuated a data centre, so that it takes no traffic.
     *
     * @param dataCentre the name of the data centre
     */
    public boolean isEvacuated(String dataCentre) {
        return mDocuments.get(DocumentKind.EVACUATION).containsKey(dataCentre);
    }

    /**
     * Returns the rollouts that operators have ordered.
     *
     * @return the rollouts by service
     */
    public Map<String, RolloutSpec> rollouts() {
        return mRollouts;
    }
}
