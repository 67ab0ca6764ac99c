package org.oriolewind.distribution;

import org.oriolewind.policy.DocumentKind;
import org.oriolewind.wire.NodeStatus;

/** Reads from a node's status which documents it knows. Stateless. */
final class KnownDocuments {
    private KnownDocuments() {}

    /** Returns the revision up to which the node knows a kind, 0 if it knows nothing. */
    static long revision(NodeStatus status, DocumentKind kind) {
        return status.getDocumentRevisionsOrDefault(kind.key(), 0);
    }

    /** Returns the digest of the documents that the node knows of a kind. */
    static long digest(NodeStatus status, DocumentKind kind) {
        return status.getDocumentDigestsOrDefault(kind.key(), 0);
    }
}
