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
 * Chooses the node that takes a call: the own data centre first, and of two at random the one that
 * uses less of its limit. Nodes elsewhere are chosen when those near are out, suspect or full. Safe
 * for use by several threads.
 */
public final class EndpointSelector {
    /** Time for which a load report counts. */
    private static final long REPORT_FRESH_MILLIS = 200;

    /** Use of the limit from which a node counts as full. */
    private static final double FULL = 1.0;

    private final String mDataCentre;
    private final Map<String, PeerLoad> mLoads = new ConcurrentHashMap<>();

    /**
     * Creates a chooser.
     *
     * @param dataCentre the own data centre
     */
    public EndpointSelector(String dataCentre) {
        mDataCentre = dataCentre;
    }

    /**
     * Returns what is known of a node's load.
     *
     * @param node the node's name
     * @return the load, kept from call to call
     */
    public PeerLoad load(String node) {
        return mLoads.computeIfAbsent(node, n -> new PeerLoad());
    }

    /**
     * Chooses a node.
     *
     * @param up the members that run the version and are up
     * @param config the configuration in force
     * @param tried nodes that this call was sent to before
     * @param random source of choices
     * @param nowMillis monotonic time
     * @return the node, or empty if none may take the call
     */
    public Optional<Member> choose(
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
        List<Member> sound = filter(allowed, m -> !load(m.getNode()).isSuspect(nowMillis));
        List<Member> pool = sound.isEmpty() ? allowed : sound;
        List<Member> local = filter(pool, m -> m.getDataCentre().equals(mDataCentre));
        List<Member> localOpen = filter(local, m -> utilization(m, nowMillis) <= FULL);
        if (!localOpen.isEmpty()) {
            return twoChoices(localOpen, random, nowMillis);
        }
        List<Member> open = filter(pool, m -> utilization(m, nowMillis) <= FULL);
        if (!open.isEmpty()) {
            return twoChoices(open, random, nowMillis);
        }
        return twoChoices(local.isEmpty() ? pool : local, random, nowMillis);
    }

    private double utilization(Member member, long nowMillis) {
        return load(member.getNode()).utilization(nowMillis, REPORT_FRESH_MILLIS);
    }

    private static List<Member> filter(List<Member> members, Predicate<Member> wanted) {
        List<Member> result = new ArrayList<>(members.size());
        for (Member member : members) {
            if (wanted.test(member)) {
                result.add(member);
            }
        }
        return result;
    }

    private Optional<Member> twoChoices(List<Member> pool, RandomGenerator random, long nowMillis) {
        if (pool.isEmpty()) {
            return Optional.empty();
        }
        Member first = pool.get(random.nextInt(pool.size()));
        Member second = pool.get(random.nextInt(pool.size()));
        boolean firstLighter = utilization(first, nowMillis) <= utilization(second, nowMillis);
        return Optional.of(firstLighter ? first : second);
    }
}
