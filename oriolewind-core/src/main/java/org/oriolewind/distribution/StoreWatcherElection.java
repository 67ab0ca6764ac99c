package org.oriolewind.distribution;

import java.util.Collection;
import java.util.Comparator;
import org.oriolewind.loadbalancing.FleetMember;
import org.oriolewind.time.NodeClock;
import org.oriolewind.wire.NodeStatus;

/**
 * Elects the node that watches the operators' documents in the store for its data centre. The
 * leader is, among the nodes that can reach the store and have the most link bandwidth, the one
 * that has run longest. It pushes changes to the other nodes, so that a change costs the store a
 * few calls per data centre and is sent over a link with enough bandwidth. Not thread-safe.
 */
public final class StoreWatcherElection {
    /** Time for which another node must be the leader before this node stops watching the store. */
    private static final long STAND_DOWN_MILLIS = 3000;

    /**
     * Time without a status after which a leader counts as unreachable. It sends its status every
     * {@link #LEADER_STATUS_INTERVAL_MILLIS}, and a change has to be current on all nodes within 2
     * s.
     */
    private static final long LEADER_TIMEOUT_MILLIS = 1200;

    /** Interval at which a node that watches the store sends its status to its data centre. */
    public static final long LEADER_STATUS_INTERVAL_MILLIS = 500;

    private static final Comparator<NodeStatus> LEADER_RANK =
            Comparator.comparingInt(NodeStatus::getLinkMbps)
                    .reversed()
                    .thenComparingLong(NodeStatus::getIncarnation)
                    .thenComparing(NodeStatus::getNode);

    private final NodeClock mClock;
    private boolean mWatchesStore = true;
    private boolean mOtherLeads;
    private long mOtherLeadsSinceMillis;

    /**
     * Creates the election's state for one node, which watches the store at first.
     *
     * @param clock source of monotonic time
     */
    public StoreWatcherElection(NodeClock clock) {
        mClock = clock;
    }

    /**
     * Updates the decision from the latest statuses. The caller does so several times a second.
     *
     * @param self this node's latest status
     * @param reachable the other nodes whose status was received recently and that have an open
     *     connection
     * @return whether this node is to watch the store
     */
    public boolean update(NodeStatus self, Collection<FleetMember> reachable) {
        long now = mClock.monotonicMillis();
        boolean otherLeads =
                reachable.stream()
                        .filter(member -> member.millisSinceStatus(now) <= LEADER_TIMEOUT_MILLIS)
                        .anyMatch(member -> ranksBefore(member.status(), self));
        if (!otherLeads) {
            mWatchesStore = true;
        } else if (!mOtherLeads) {
            mOtherLeadsSinceMillis = now;
        } else if (now - mOtherLeadsSinceMillis >= STAND_DOWN_MILLIS) {
            mWatchesStore = false;
        }
        mOtherLeads = otherLeads;
        return mWatchesStore;
    }

    /**
     * Returns whether this node is the leader of its data centre, which pushes changes to the
     * others. A node that has just started watches the store for a while without being the leader.
     *
     * @return true if it watches the store and no other node ranks before it
     */
    public boolean isLeader() {
        return mWatchesStore && !mOtherLeads;
    }

    private static boolean ranksBefore(NodeStatus other, NodeStatus self) {
        return other.getFollowsStore()
                && !other.getLeaving()
                && other.getDataCentre().equals(self.getDataCentre())
                && LEADER_RANK.compare(other, self) < 0;
    }
}
