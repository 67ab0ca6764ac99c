package org.oriolewind.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.oriolewind.config.MeshConfig;
import org.oriolewind.wire.Member;

/**
 * Selects the node that takes a call: nodes of the local data centre first and, of two candidates
 * drawn at random, the one with the lower utilization. Nodes of other data centres are selected if
 * the local ones are out of service, suspect or at their limit. Thread-safe.
 */
public final class EndpointSelector {
    /** Age up to which a load report is used. */
    private static final long REPORT_FRESH_MILLIS = 200;

    /** Utilization above which a node counts as full. 1 means that its limit is reached. */
    private static final double MAX_UTILIZATION = 1.0;

    private final String mDataCentre;
    private final Map<String, PeerLoad> mLoads = new ConcurrentHashMap<>();

    /**
     * Creates a selector without load information.
     *
     * @param dataCentre the local data centre
     */
    public EndpointSelector(String dataCentre) {
        mDataCentre = dataCentre;
    }

    /**
     * Returns the load information of a node, which is created on first use and kept between calls.
     *
     * @param node the node's name
     */
    public PeerLoad load(String node) {
        return mLoads.computeIfAbsent(node, n -> new PeerLoad());
    }

    /**
     * Selects a node for the next attempt of a call.
     *
     * @param up the members that are up and run the selected version
     * @param config the configuration in force, which excludes drained nodes and data centres
     * @param tried names of the nodes that this call was sent to before, which are excluded
     * @param random source of random choices
     * @param nowMillis monotonic time
     * @return the node, or empty if all are excluded
     */
    public Optional<Member> select(
            List<Member> up,
            MeshConfig config,
            Set<String> tried,
            RandomGenerator random,
            long nowMillis) {
        List<Member> allowed = new ArrayList<>();
        for (Member member : up) {
            if (!config.dataCentresOut().contains(member.getDataCentre())
                    && !config.drainedNodes().contains(member.getNode())
                    && !tried.contains(member.getNode())) {
                allowed.add(member);
            }
        }
        List<Member> healthy = filter(allowed, m -> !load(m.getNode()).isSuspect(nowMillis));
        List<Member> pool = healthy.isEmpty() ? allowed : healthy;
        List<Member> local = filter(pool, m -> m.getDataCentre().equals(mDataCentre));
        List<Member> localAvailable =
                filter(local, m -> utilization(m, nowMillis) <= MAX_UTILIZATION);
        if (!localAvailable.isEmpty()) {
            return lessUtilizedOfTwo(localAvailable, random, nowMillis);
        }
        List<Member> available = filter(pool, m -> utilization(m, nowMillis) <= MAX_UTILIZATION);
        if (!available.isEmpty()) {
            return lessUtilizedOfTwo(available, random, nowMillis);
        }
        return lessUtilizedOfTwo(local.isEmpty() ? pool : local, random, nowMillis);
    }

    private double utilization(Member member, long nowMillis) {
        return load(member.getNode()).utilization(nowMillis, REPORT_FRESH_MILLIS);
    }

    private static List<Member> filter(List<Member> members, Predicate<Member> predicate) {
        List<Member> result = new ArrayList<>(members.size());
        for (Member member : members) {
            if (predicate.test(member)) {
                result.add(member);
            }
        }
        return result;
    }

    private Optional<Member> lessUtilizedOfTwo(
            List<Member> pool, RandomGenerator random, long nowMillis) {
        if (pool.isEmpty()) {
            return Optional.empty();
        }
        Member first = pool.get(random.nextInt(pool.size()));
        Member second = pool.get(random.nextInt(pool.size()));
        boolean firstLessUtilized = utilization(first, nowMillis) <= utilization(second, nowMillis);
        return Optional.of(firstLessUtilized ? first : second);
    }
}
