package org.oriolewind.distribution;

import java.util.Collection;
import java.util.Comparator;
import org.oriolewind.loadbalancing.FleetMember;
import org.oriolewind.time.NodeClock;
import org.oriolewind.wire.NodeStatus;

/**
 * Decides whether this node follows the operators' documents in the store itself. In each data
 * centre one node does, as long as the store answers it: of those with the widest link the one that
 * has run longest. The others hear from it, so that a change costs the store a few calls a data
 * centre, and leaves by a link that bears it. Not safe for use by several threads.
 */
public final class StoreFollowerElection {
    /** Time for which another node must lead before this one leaves the store to it. */
    private static final long STAND_DOWN_MILLIS = 3000;

    /**
     * Silence after which a leader counts as out of reach: it tells its status each {@link
     * #LEADER_STATUS_INTERVAL_MILLIS}, and a change has to be in force within 2 s.
     */
    private static final long LEADER_SILENT_MILLIS = 1200;

    /** Time between the statuses that a node which follows the store sends to its data centre. */
    public static final long LEADER_STATUS_INTERVAL_MILLIS = 500;

    private static final Comparator<NodeStatus> SENIORITY =
            Comparator.comparingInt(NodeStatus::getLinkMbps)
                    .reversed()
                    .thenComparingLong(NodeStatus::getIncarnation)
                    .thenComparing(NodeStatus::getNode);

    private final NodeClock mClock;
    private boolean mFollows = true;
    private boolean mLed;
    private long mLedSinceMillis;

    /**
     * Creates a decision to follow the store.
     *
     * @param clock the clock
     */
    public StoreFollowerElection(NodeClock clock) {
        mClock = clock;
    }

    /**
     * Decides anew. To be called several times a second.
     *
     * @param self this node's status
     * @param reached the other nodes that were heard of lately and have an open link
     * @return whether to follow the store
     */
    public boolean update(NodeStatus self, Collection<FleetMember> reached) {
        long now = mClock.monotonicMillis();
        boolean led =
                reached.stream()
                        .filter(member -> member.millisSinceStatus(now) <= LEADER_SILENT_MILLIS)
                        .anyMatch(member -> leads(member.status(), self));
        if (!led) {
            mFollows = true;
        } else if (!mLed) {
            mLedSinceMillis = now;
        } else if (now - mLedSinceMillis >= STAND_DOWN_MILLIS) {
            mFollows = false;
        }
        mLed = led;
        return mFollows;
    }

    /**
     * Returns whether this node leads its data centre, so that others hear of changes from it. A
     * node that has just started follows the store for a while without leading.
     *
     * @return true if no other node leads
     */
    public boolean isLeader() {
        return mFollows && !mLed;
    }

    private static boolean leads(NodeStatus other, NodeStatus self) {
        return other.getFollowsStore()
                && !other.getLeaving()
                && other.getDataCentre().equals(self.getDataCentre())
                && SENIORITY.compare(other, self) < 0;
    }
}
