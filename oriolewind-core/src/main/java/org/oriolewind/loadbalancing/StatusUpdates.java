package org.oriolewind.loadbalancing;

import java.util.List;
import org.oriolewind.wire.BackendEntry;
import org.oriolewind.wire.NodeStatus;
import org.oriolewind.wire.TrialProgress;

/**
 * Splits a node's status into its state, which other nodes must learn at once, and the rest, which
 * changes all the time: load, and the counts of rollouts. Stateless.
 */
public final class StatusUpdates {
    private StatusUpdates() {}

    /**
     * Returns a status without the state, for nodes that have it.
     *
     * @param status a complete status
     */
    public static NodeStatus update(NodeStatus status) {
        return status.toBuilder()
                .clearDataCentre()
                .clearPeerAddress()
                .clearBackend()
                .clearLeaving()
                .clearFollowsStore()
                .clearLinkMbps()
                .clearDocumentRevisions()
                .clearDocumentDigests()
                .build();
    }

    /**
     * Returns whether two complete statuses of a node have the same state.
     *
     * @param latest the status that other nodes have
     * @param status the current status
     */
    public static boolean isSameState(NodeStatus latest, NodeStatus status) {
        return isSameBackend(latest.getBackend(), status.getBackend())
                && latest.getLeaving() == status.getLeaving()
                && latest.getFollowsStore() == status.getFollowsStore()
                && latest.getDocumentRevisionsMap().equals(status.getDocumentRevisionsMap())
                && rollouts(latest).equals(rollouts(status));
    }

    private static boolean isSameBackend(BackendEntry latest, BackendEntry backend) {
        // The remaining cold time is a state that changes all the time.
        return latest.getPhase() == backend.getPhase()
                && latest.getColdMillis() == 0
                && backend.getColdMillis() == 0
                && latest.getInstanceId().equals(backend.getInstanceId());
    }

    /** Returns the rollouts in progress and their faults, without their ages. */
    private static List<TrialProgress> rollouts(NodeStatus status) {
        return status.getTrialProgressList().stream()
                .map(progress -> progress.toBuilder().clearAgeMillis().build())
                .toList();
    }
}
