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
 * What this node knows of the operators' documents, from the store or from other nodes.
 *
 * <p>Invariants: the revision of a kind never falls; the version of the policy in force never falls
 * in the lifetime of the process, whatever order documents come in. Not safe for use by several
 * threads.
 */
public final class OperatorDocumentCache {
    /** The document that holds the configuration. */
    public static final String MAIN = "main";

    /** A large odd number, so that neighbouring revisions give digests far apart. */
    private static final long DIGEST_FACTOR = 0x9E3779B97F4A7C15L;

    private final PolicyDecoder mDecoder;
    private final Consumer<DocumentKind> mOnChange;
    private final Map<DocumentKind, TreeMap<String, OperatorDocument>> mDocuments =
            new EnumMap<>(DocumentKind.class);
    private final Map<DocumentKind, Long> mRevisions = new EnumMap<>(DocumentKind.class);
    private Optional<TrafficPolicy> mPolicy = Optional.empty();
    private Map<String, RolloutSpec> mTrials = Map.of();

    /**
     * Creates an empty view.
     *
     * @param decoder reads documents
     * @param onChange told of each kind whose documents changed
     */
    public OperatorDocumentCache(PolicyDecoder decoder, Consumer<DocumentKind> onChange) {
        mDecoder = decoder;
        mOnChange = onChange;
        for (DocumentKind kind : DocumentKind.values()) {
            mDocuments.put(kind, new TreeMap<>());
        }
    }

    /**
     * Takes all documents of a kind. Older knowledge than the present one is ignored.
     *
     * @param kind the kind
     * @param asOfRevision the revision at which the documents were read
     * @param documents the documents
     */
    public void replace(
            DocumentKind kind, long asOfRevision, Collection<OperatorDocument> documents) {
        if (asOfRevision <= revision(kind)) {
            return;
        }
        TreeMap<String, OperatorDocument> next = new TreeMap<>();
        documents.forEach(d -> next.put(d.name(), d));
        boolean changed = !next.equals(mDocuments.get(kind));
        mDocuments.put(kind, next);
        mRevisions.put(kind, asOfRevision);
        if (changed) {
            changed(kind);
        }
    }

    /**
     * Takes one change of a kind that was read up to the revision before.
     *
     * @param kind the kind
     * @param document the document; its content is ignored if it was deleted
     * @param deleted whether it was deleted
     * @param asOfRevision the revision of the change
     */
    public void apply(
            DocumentKind kind, OperatorDocument document, boolean deleted, long asOfRevision) {
        if (asOfRevision <= revision(kind)) {
            return;
        }
        if (deleted) {
            mDocuments.get(kind).remove(document.name());
        } else {
            mDocuments.get(kind).put(document.name(), document);
        }
        mRevisions.put(kind, asOfRevision);
        changed(kind);
    }

    private void changed(DocumentKind kind) {
        switch (kind) {
            case CONFIG -> readPolicy();
            case ROLLOUT -> readTrials();
            default -> {
                // The names of the documents are all there is to evacuations.
            }
        }
        mOnChange.accept(kind);
    }

    private void readPolicy() {
        Optional<TrafficPolicy> read =
                Optional.ofNullable(mDocuments.get(DocumentKind.CONFIG).get(MAIN))
                        .flatMap(mDecoder::policy);
        long inForce = mPolicy.map(TrafficPolicy::version).orElse(Long.MIN_VALUE);
        if (read.isPresent() && read.get().version() > inForce) {
            mPolicy = read;
        }
    }

    private void readTrials() {
        Map<String, RolloutSpec> trials = new TreeMap<>();
        for (OperatorDocument document : mDocuments.get(DocumentKind.ROLLOUT).values()) {
            mDecoder.trial(document).ifPresent(t -> trials.put(t.service(), t));
        }
        mTrials = trials;
    }

    /**
     * Returns the revision up to which a kind is known.
     *
     * @param kind the kind
     * @return the revision, 0 if nothing is known
     */
    public long revision(DocumentKind kind) {
        return mRevisions.getOrDefault(kind, 0L);
    }

    /**
     * Returns a digest of the names and revisions of a kind's documents.
     *
     * @param kind the kind
     * @return the digest, equal at nodes that know the same documents
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
     * @param kind the kind
     * @return the documents
     */
    public List<OperatorDocument> documents(DocumentKind kind) {
        return new ArrayList<>(mDocuments.get(kind).values());
    }

    /**
     * Returns the policy in force.
     *
     * @return the policy, empty until one is known
     */
    public Optional<TrafficPolicy> policy() {
        return mPolicy;
    }

    /**
     * Returns whether a data centre takes no traffic.
     *
     * @param dataCentre the data centre
     * @return true if operators evacuate it
     */
    public boolean isOut(String dataCentre) {
        return mDocuments.get(DocumentKind.EVACUATION).containsKey(dataCentre);
    }

    /**
     * Returns the trials by service.
     *
     * @return the trials
     */
    public Map<String, RolloutSpec> trials() {
        return mTrials;
    }
}
