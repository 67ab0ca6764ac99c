package org.oriolewind.loadbalancing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.oriolewind.time.NodeClock;
import org.oriolewind.wire.NodeStatus;

/**
 * The nodes that this one has heard of, itself included. Not safe for use by several threads.
 *
 * <p>Invariant: an earlier status of the same incarnation is ignored, and so is one of an earlier
 * incarnation while the later one is heard.
 */
public final class Fleet {
    /**
     * Silence after which a node counts as out of reach: statuses come each 1 s, and one may be
     * lost.
     */
    public static final long STATUS_TIMEOUT_MILLIS = 2500;

    private final NodeClock mClock;
    private final RouteCosts mRouteCosts = new RouteCosts();
    private final Map<String, FleetMember> mMembers = new TreeMap<>();

    /**
     * Creates an empty fleet.
     *
     * @param clock the clock
     */
    public Fleet(NodeClock clock) {
        mClock = clock;
    }

    /**
     * Takes a status. One without a data centre tells only the load, and leaves the rest as it was.
     *
     * @param status the status
     * @return true if it was news
     */
    public boolean onStatus(NodeStatus status) {
        long now = mClock.monotonicMillis();
        FleetMember member = mMembers.get(status.getNode());
        boolean whole = !status.getDataCentre().isEmpty();
        boolean known =
                member != null && member.status().getIncarnation() == status.getIncarnation();
        if (!whole && !known) {
            return false;
        }
        if (member == null) {
            mMembers.put(status.getNode(), new FleetMember(status, mRouteCosts, now));
            return true;
        }
        NodeStatus latest = member.status();
        // A clock that was set back gives a later life a lower number; the earlier one is silent
        // then.
        boolean silent = member.millisSinceStatus(now) > STATUS_TIMEOUT_MILLIS;
        boolean older =
                status.getIncarnation() < latest.getIncarnation() && !silent
                        || known && status.getSequence() <= latest.getSequence();
        if (older) {
            return false;
        }
        member.onStatus(whole ? status : withLoad(latest, status), now);
        return true;
    }

    private static NodeStatus withLoad(NodeStatus latest, NodeStatus load) {
        return latest.toBuilder()
                .setSequence(load.getSequence())
                .setLimit(load.getLimit())
                .setInFlight(load.getInFlight())
                .setMeanServiceMicros(load.getMeanServiceMicros())
                .setFailurePermille(load.getFailurePermille())
                .build();
    }

    /**
     * Returns the members whose backend servers take calls of a service.
     *
     * @param service the service
     * @return the members
     */
    public List<FleetMember> serving(String service) {
        List<FleetMember> serving = new ArrayList<>();
        for (FleetMember member : mMembers.values()) {
            if (member.serves(service)) {
                serving.add(member);
            }
        }
        return serving;
    }

    /**
     * Takes that a node gives no sign of life. It gets no calls until it does.
     *
     * @param peerAddress its address
     */
    public void onPeerUnresponsive(String peerAddress) {
        for (FleetMember member : mMembers.values()) {
            if (member.status().getPeerAddress().equals(peerAddress)) {
                member.onPeerUnresponsive();
            }
        }
    }

    /**
     * Returns whether a member was heard of lately.
     *
     * @param member the member
     * @return true if it was
     */
    public boolean isReachable(FleetMember member) {
        return !member.isUnresponsive()
                && member.millisSinceStatus(mClock.monotonicMillis()) <= STATUS_TIMEOUT_MILLIS;
    }

    /**
     * Returns the members that were heard of lately.
     *
     * @return the members by name
     */
    public List<FleetMember> heard() {
        List<FleetMember> heard = new ArrayList<>(mMembers.values());
        heard.removeIf(member -> !isReachable(member));
        return heard;
    }

    /**
     * Returns how many members that were heard of lately come before a node by name.
     *
     * @param node the node's name
     * @return its rank, 0 for the first
     */
    public int rank(String node) {
        return (int) heard().stream().filter(m -> m.status().getNode().compareTo(node) < 0).count();
    }

    /**
     * Finds a member.
     *
     * @param node its name
     * @return the member
     */
    public Optional<FleetMember> member(String node) {
        return Optional.ofNullable(mMembers.get(node));
    }

    /**
     * Returns all members.
     *
     * @return the members by name
     */
    public Collection<FleetMember> all() {
        return mMembers.values();
    }
}
