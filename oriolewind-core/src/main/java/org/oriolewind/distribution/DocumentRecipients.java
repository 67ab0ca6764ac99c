package org.oriolewind.distribution;

import java.util.Collection;
import java.util.List;
import org.oriolewind.loadbalancing.FleetMember;
import org.oriolewind.policy.DocumentKind;
import org.oriolewind.policy.OperatorDocumentCache;
import org.oriolewind.wire.NodeStatus;

/**
 * Decides to which nodes documents that were read from the store are passed on: to those of the own
 * data centre that neither follow the store nor are known to have them. Stateless.
 */
public final class DocumentRecipients {
    private DocumentRecipients() {}

    /**
     * Returns the recipients of a kind of documents.
     *
     * @param self this node's latest status
     * @param view what this node knows
     * @param kind the kind
     * @param heard the other nodes that were heard of lately
     * @return their addresses
     */
    public static List<String> recipients(
            NodeStatus self,
            OperatorDocumentCache view,
            DocumentKind kind,
            Collection<FleetMember> heard) {
        return dependents(self, heard).stream()
                .filter(status -> lacks(status, view, kind))
                .map(NodeStatus::getPeerAddress)
                .toList();
    }

    /**
     * Returns the nodes that hear of changes from the leader of this node's data centre.
     *
     * @param self this node's latest status
     * @param heard the nodes that were heard of lately
     * @return their statuses
     */
    public static List<NodeStatus> dependents(NodeStatus self, Collection<FleetMember> heard) {
        return heard.stream()
                .map(FleetMember::status)
                .filter(status -> !status.getNode().equals(self.getNode()))
                .filter(status -> status.getDataCentre().equals(self.getDataCentre()))
                .filter(status -> !status.getFollowsStore())
                .toList();
    }

    private static boolean lacks(NodeStatus status, OperatorDocumentCache view, DocumentKind kind) {
        return KnownDocuments.revision(status, kind) < view.revision(kind)
                && KnownDocuments.digest(status, kind) != view.digest(kind);
    }
}
