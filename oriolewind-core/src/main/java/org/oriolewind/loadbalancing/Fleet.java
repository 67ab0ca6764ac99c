package org.oriolewind.loadbalancing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.oriolewind.time.NodeClock;
import org.oriolewind.wire.NodeStatus;

/**
 * The nodes of which this node has a status, itself included. Not thread-safe.
 *
 * <p>Invariant: within one incarnation, a status that is not newer than the stored one is ignored.
 * A status of an earlier incarnation is ignored until the later incarnation has timed out.
 */
public final class Fleet {
    private final NodeClock mClock;
    private final String mDataCentre;
    private final RouteCosts mRouteCosts = new RouteCosts();
    private final Map<String, FleetMember> mMembers = new TreeMap<>();

    /**
     * Creates an empty fleet.
     *
     * @param clock dates the receipt of statuses
     * @param dataCentre the local data centre
     */
    public Fleet(NodeClock clock, String dataCentre) {
        mClock = clock;
        mDataCentre = dataCentre;
    }

    /**
     * Stores a status if it is newer than the stored one. A status without a data centre reports
     * only the load, and leaves the other fields unchanged.
     *
     * @return true if the status was stored
     */
    public boolean onStatus(NodeStatus status) {
        long now = mClock.monotonicMillis();
        FleetMember member = mMembers.get(status.getNode());
        boolean complete = !status.getDataCentre().isEmpty();
        boolean sameIncarnation =
                member != null && member.status().getIncarnation() == status.getIncarnation();
        if (!complete && !sameIncarnation) {
            return false;
        }
        if (member == null) {
            mMembers.put(status.getNode(), new FleetMember(status, mRouteCosts, now));
            return true;
        }
        NodeStatus latest = member.status();
        // If the node's clock was set back, a later incarnation has a lower number. The earlier one
        // has timed out by then.
        boolean timedOut = isTimedOut(member);
        boolean outdated =
                status.getIncarnation() < latest.getIncarnation() && !timedOut
                        || sameIncarnation && status.getSequence() <= latest.getSequence();
        if (outdated) {
            return false;
        }
        member.onStatus(complete ? status : withLoad(latest, status), now);
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
     * Returns the members whose backend servers accept calls of a service. They may be unreachable.
     *
     * @param service the service's name
     * @return the members, ordered by node name
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
     * Marks a node as unresponsive. It gets no calls until a status or an answer arrives from it.
     *
     * @param peerAddress the node's peer address
     */
    public void onPeerUnresponsive(String peerAddress) {
        for (FleetMember member : mMembers.values()) {
            if (member.status().getPeerAddress().equals(peerAddress)) {
                member.onPeerUnresponsive();
            }
        }
    }

    /**
     * Returns whether a member's latest status is recent and its connection responsive.
     *
     * @param member a member of this fleet
     */
    public boolean isReachable(FleetMember member) {
        return !member.isUnresponsive() && !isTimedOut(member);
    }

    private boolean isTimedOut(FleetMember member) {
        long intervalMillis =
                isRemote(member) ? remoteStatusIntervalMillis() : StatusInterval.LOCAL_MILLIS;
        return member.millisSinceStatus(mClock.monotonicMillis())
                > StatusInterval.timeoutMillis(intervalMillis);
    }

    private boolean isRemote(FleetMember member) {
        return !member.status().getDataCentre().equals(mDataCentre);
    }

    /**
     * Returns the interval of statuses between nodes of different data centres.
     *
     * @return milliseconds
     */
    public long remoteStatusIntervalMillis() {
        return StatusInterval.remoteMillis(mMembers.size());
    }

    /**
     * Returns the time without frames of a node in another data centre after which it is pinged.
     *
     * @return milliseconds
     */
    public long remoteIdleMillis() {
        return StatusInterval.remoteIdleMillis(mMembers.size());
    }

    /** Returns the peer addresses of the nodes in other data centres. */
    public Set<String> remoteAddresses() {
        Set<String> addresses = new HashSet<>();
        for (FleetMember member : mMembers.values()) {
            if (isRemote(member)) {
                addresses.add(member.status().getPeerAddress());
            }
        }
        return addresses;
    }

    /**
     * Returns the reachable members.
     *
     * @return the members, ordered by node name
     */
    public List<FleetMember> reachable() {
        List<FleetMember> reachable = new ArrayList<>(mMembers.values());
        reachable.removeIf(member -> !isReachable(member));
        return reachable;
    }

    /**
     * Returns the number of reachable members whose names sort before a node's name.
     *
     * @param node the node's name
     * @return the rank, 0 for the first
     */
    public int rank(String node) {
        return (int)
                reachable().stream().filter(m -> m.status().getNode().compareTo(node) < 0).count();
    }

    /**
     * Returns the member with the given name, reachable or not.
     *
     * @param node the node's name
     * @return the member, empty if no status of this node has arrived
     */
    public Optional<FleetMember> member(String node) {
        return Optional.ofNullable(mMembers.get(node));
    }

    /**
     * Returns all members, reachable or not.
     *
     * @return a view of the members, ordered by node name
     */
    public Collection<FleetMember> all() {
        return mMembers.values();
    }
}
