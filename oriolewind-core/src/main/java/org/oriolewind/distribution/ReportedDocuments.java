package org.oriolewind.distribution;

import org.oriolewind.policy.DocumentKind;
import org.oriolewind.wire.NodeStatus;

/** Reads from a node's status which revision and content of each kind the node has. Stateless. */
final class ReportedDocuments {
    private ReportedDocuments() {}

    /** Returns the revision at which the node has a kind's documents, 0 if it has none. */
    static long revision(NodeStatus status, DocumentKind kind) {
        return status.getDocumentRevisionsOrDefault(kind.key(), 0);
    }

    /** Returns the digest of the node's documents of a kind, 0 if it has none. */
    static long digest(NodeStatus status, DocumentKind kind) {
        return status.getDocumentDigestsOrDefault(kind.key(), 0);
    }
}
