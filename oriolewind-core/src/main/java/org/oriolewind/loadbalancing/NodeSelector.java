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
 * Chooses the node that takes a call: the one expected to answer first, with a preference for the
 * own data centre as long as it answers well within the aim. Not safe for use by several threads.
 */
public final class NodeSelector {
    /** A call stays in its data centre if the answer is expected within this share of its aim. */
    private static final double STAY_AIM_SHARE = 0.8;

    /** Share of the aim by which another data centre must be faster: its bytes have a price. */
    private static final double CROSSING_AIM_SHARE = 0.15;

    /** Spreads the choices of many nodes that know the same. */
    private static final double JITTER_SHARE = 0.25;

    /** A cold backend server takes about twice as long. */
    private static final double COLD_FACTOR = 2.0;

    /** Weight of the failures of a backend server, in aims. */
    private static final double FAILURE_AIMS = 3.0;

    /** A backend server of the own data centre without calls for this long is tried again. */
    private static final long EXPLORE_MILLIS = 1500;

    private final String mDataCentre;
    private final NodeClock mClock;
    private final RandomGenerator mRandom;
    private final Fleet mFleet;

    /**
     * Creates a placement.
     *
     * @param dataCentre the own data centre
     * @param clock the clock
     * @param random source of choices
     * @param fleet the nodes
     */
    public NodeSelector(String dataCentre, NodeClock clock, RandomGenerator random, Fleet fleet) {
        mDataCentre = dataCentre;
        mClock = clock;
        mRandom = random;
        mFleet = fleet;
    }

    /**
     * Chooses a node.
     *
     * @param service the service
     * @param route the call's route
     * @param candidates the members that may take the call
     * @param view the operators' documents
     * @param tried nodes that this call was sent to before
     * @param targetLatencyMillis time left within which an answer is worth most
     * @param mayExplore whether the call may be used to try a backend server that had none lately
     * @return the node, empty if none may take the call
     */
    public Optional<FleetMember> choose(
            String service,
            String route,
            Predicate<FleetMember> candidates,
            OperatorDocumentCache view,
            Set<String> tried,
            long targetLatencyMillis,
            boolean mayExplore) {
        long now = mClock.monotonicMillis();
        List<FleetMember> allowed = new ArrayList<>();
        for (FleetMember member : mFleet.serving(service)) {
            if (mFleet.isReachable(member)
                    && candidates.test(member)
                    && !view.isOut(member.status().getDataCentre())
                    && !tried.contains(member.status().getNode())) {
                allowed.add(member);
            }
        }
        List<FleetMember> sound = new ArrayList<>(allowed);
        sound.removeIf(m -> m.isSuspect(now));
        List<FleetMember> pool = sound.isEmpty() ? allowed : sound;
        if (mayExplore) {
            for (FleetMember member : pool) {
                if (isLocal(member) && member.idleMillis(now) > EXPLORE_MILLIS) {
                    return Optional.of(member);
                }
            }
        }
        return cheapest(pool, route, Math.max(1, targetLatencyMillis));
    }

    private Optional<FleetMember> cheapest(
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
            double crossing = isLocal(member) ? 0 : targetLatencyMillis * CROSSING_AIM_SHARE;
            if (cost + crossing < bestCost) {
                best = member;
                bestCost = cost + crossing;
            }
        }
        if (bestLocal != null && bestLocalCost <= targetLatencyMillis * STAY_AIM_SHARE) {
            return Optional.of(bestLocal);
        }
        return Optional.ofNullable(best);
    }

    private double cost(FleetMember member, String route, long targetLatencyMillis) {
        double expected = member.expectedMillis(route);
        if (member.status().getBackend().getColdMillis() > 0) {
            expected *= COLD_FACTOR;
        }
        expected +=
                targetLatencyMillis * FAILURE_AIMS * member.status().getFailurePermille() / 1000.0;
        return expected * (1 + mRandom.nextDouble() * JITTER_SHARE);
    }

    private boolean isLocal(FleetMember member) {
        return member.status().getDataCentre().equals(mDataCentre);
    }
}
