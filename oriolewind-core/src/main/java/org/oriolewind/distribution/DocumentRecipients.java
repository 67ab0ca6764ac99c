package org.oriolewind.distribution;

import java.util.Collection;
import java.util.List;
import org.oriolewind.loadbalancing.FleetMember;
import org.oriolewind.policy.DocumentKind;
import org.oriolewind.policy.OperatorDocumentCache;
import org.oriolewind.wire.NodeStatus;

/**
 * Selects the nodes to which documents read from the store are pushed: those of this data centre
 * that neither watch the store themselves nor report that they have the documents. Stateless.
 */
public final class DocumentRecipients {
    private DocumentRecipients() {}

    /**
     * Returns the nodes to which to push the documents of a kind.
     *
     * @param self this node's latest status
     * @param documents the documents that this node has
     * @param kind the kind to push
     * @param reachableMembers the nodes whose status was received recently
     * @return peer addresses, empty if all nodes have the documents
     */
    public static List<String> recipients(
            NodeStatus self,
            OperatorDocumentCache documents,
            DocumentKind kind,
            Collection<FleetMember> reachableMembers) {
        return nodesWithoutStoreWatch(self, reachableMembers).stream()
                .filter(status -> lacks(status, documents, kind))
                .map(NodeStatus::getPeerAddress)
                .toList();
    }

    /**
     * Returns the nodes that receive changes from the leader of this node's data centre, because
     * they do not watch the store themselves.
     *
     * @param self this node's latest status
     * @param reachableMembers the nodes whose status was received recently
     * @return the latest status of each, this node left out
     */
    public static List<NodeStatus> nodesWithoutStoreWatch(
            NodeStatus self, Collection<FleetMember> reachableMembers) {
        return reachableMembers.stream()
                .map(FleetMember::status)
                .filter(status -> !status.getNode().equals(self.getNode()))
                .filter(status -> status.getDataCentre().equals(self.getDataCentre()))
                .filter(status -> !status.getFollowsStore())
                .toList();
    }

    private static boolean lacks(
            NodeStatus status, OperatorDocumentCache documents, DocumentKind kind) {
        return ReportedDocuments.revision(status, kind) < documents.revision(kind)
                && ReportedDocuments.digest(status, kind) != documents.digest(kind);
    }
}
