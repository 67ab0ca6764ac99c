package org.oriolewind.loadbalancing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.oriolewind.policy.OperatorDocumentCache;
import org.oriolewind.time.NodeClock;

/**
 * Selects the node that takes a call: the one with the lowest expected response time, with a
 * preference for the local data centre as long as it is expected to answer well within the target
 * latency. Not thread-safe.
 */
public final class NodeSelector {
    /**
     * A call stays in the local data centre if its expected time is within this share of the target
     * latency.
     */
    private static final double LOCAL_TARGET_SHARE = 0.8;

    /**
     * Share of the target latency by which a node in another data centre must be faster, since
     * traffic between data centres is expensive.
     */
    private static final double CROSS_DATA_CENTRE_TARGET_SHARE = 0.15;

    /**
     * Jitter of the expected time, so that nodes with the same information don't all select the
     * same node.
     */
    private static final double JITTER_SHARE = 0.25;

    /** Factor on the expected time at a cold backend server, which takes about twice as long. */
    private static final double COLD_FACTOR = 2.0;

    /** Penalty for a backend server that fails all calls, in multiples of the target latency. */
    private static final double FAILURE_PENALTY_TARGETS = 3.0;

    /** A local backend server that got no call from this node for this long is tried again. */
    private static final long EXPLORE_IDLE_MILLIS = 1500;

    private final String mDataCentre;
    private final NodeClock mClock;
    private final RandomGenerator mRandom;
    private final Fleet mFleet;

    /**
     * Creates a selector.
     *
     * @param dataCentre the local data centre
     * @param clock measures how long a node has been idle or suspect
     * @param random source of jitter
     * @param fleet the nodes to select from
     */
    public NodeSelector(String dataCentre, NodeClock clock, RandomGenerator random, Fleet fleet) {
        mDataCentre = dataCentre;
        mClock = clock;
        mRandom = random;
        mFleet = fleet;
    }

    /**
     * Selects a node for the next attempt of a call.
     *
     * @param service the service's name
     * @param route the name of the call's route
     * @param candidates restricts the selection, for example to the nodes of one version
     * @param documents the operators' documents, which name the evacuated data centres
     * @param tried names of the nodes that this call was sent to before, which are excluded
     * @param targetLatencyMillis time left until the target latency
     * @param mayExplore whether the call may be sent to a local backend server that got none
     *     recently
     * @return the node, or empty if no node may take the call
     */
    public Optional<FleetMember> select(
            String service,
            String route,
            Predicate<FleetMember> candidates,
            OperatorDocumentCache documents,
            Set<String> tried,
            long targetLatencyMillis,
            boolean mayExplore) {
        long now = mClock.monotonicMillis();
        List<FleetMember> allowed = new ArrayList<>();
        for (FleetMember member : mFleet.serving(service)) {
            if (mFleet.isReachable(member)
                    && candidates.test(member)
                    && !documents.isEvacuated(member.status().getDataCentre())
                    && !tried.contains(member.status().getNode())) {
                allowed.add(member);
            }
        }
        List<FleetMember> healthy = new ArrayList<>(allowed);
        healthy.removeIf(m -> m.isSuspect(now));
        List<FleetMember> pool = healthy.isEmpty() ? allowed : healthy;
        if (mayExplore) {
            for (FleetMember member : pool) {
                if (isLocal(member) && member.idleMillis(now) > EXPLORE_IDLE_MILLIS) {
                    return Optional.of(member);
                }
            }
        }
        return leastCost(pool, route, Math.max(1, targetLatencyMillis));
    }

    private Optional<FleetMember> leastCost(
            List<FleetMember> pool, String route, long targetLatencyMillis) {
        FleetMember best = null;
        FleetMember bestLocal = null;
        double bestCost = Double.MAX_VALUE;
        double bestLocalCost = Double.MAX_VALUE;
        for (FleetMember member : pool) {
            double cost = cost(member, route, targetLatencyMillis);
            if (isLocal(member) && cost < bestLocalCost) {
                bestLocal = member;
                bestLocalCost = cost;
            }
            double crossingCost =
                    isLocal(member) ? 0 : targetLatencyMillis * CROSS_DATA_CENTRE_TARGET_SHARE;
            if (cost + crossingCost < bestCost) {
                best = member;
                bestCost = cost + crossingCost;
            }
        }
        if (bestLocal != null && bestLocalCost <= targetLatencyMillis * LOCAL_TARGET_SHARE) {
            return Optional.of(bestLocal);
        }
        return Optional.ofNullable(best);
    }

    private double cost(FleetMember member, String route, long targetLatencyMillis) {
        double costMillis = member.expectedResponseMillis(route);
        if (member.status().getBackend().getColdMillis() > 0) {
            costMillis *= COLD_FACTOR;
        }
        costMillis +=
                targetLatencyMillis
                        * FAILURE_PENALTY_TARGETS
                        * member.status().getFailurePermille()
                        / 1000.0;
        return costMillis * (1 + mRandom.nextDouble() * JITTER_SHARE);
    }

    private boolean isLocal(FleetMember member) {
        return member.status().getDataCentre().equals(mDataCentre);
    }
}
