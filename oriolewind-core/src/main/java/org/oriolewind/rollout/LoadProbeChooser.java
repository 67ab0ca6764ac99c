package org.oriolewind.rollout;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.oriolewind.loadbalancing.Fleet;
import org.oriolewind.loadbalancing.FleetMember;

/**
 * Chooses which backend server of a new version is probed under load, and with which share of the
 * service's calls. Nodes that know the same fleet choose the same. Not safe for use by several
 * threads.
 */
final class LoadProbeChooser {
    /** Part of the slots to be filled; calls come unevenly, and more would only wait. */
    private static final double FILLED_PART = 0.8;

    /** The old version keeps some calls to be compared with. */
    private static final double MAX_SHARE = 0.9;

    private final Fleet mFleet;

    LoadProbeChooser(Fleet fleet) {
        mFleet = fleet;
    }

    /**
     * A backend server to be probed.
     *
     * @param node the node beside it
     * @param share share of the service's calls that fills its slots
     */
    record Probe(String node, double share) {}

    /** Chooses among the warm backend servers that were heard of lately. */
    Optional<Probe> choose(String service, String version) {
        List<FleetMember> serving =
                mFleet.serving(service).stream().filter(mFleet::isReachable).toList();
        return serving.stream()
                .filter(member -> member.status().getBackend().getVersion().equals(version))
                .filter(member -> member.status().getBackend().getColdMillis() == 0)
                .min(Comparator.comparing(member -> member.status().getNode()))
                .map(member -> new Probe(member.status().getNode(), share(member, serving)));
    }

    private static double share(FleetMember probed, List<FleetMember> serving) {
        int inFlight = serving.stream().mapToInt(FleetMember::load).sum();
        int slots = Math.max(1, probed.status().getBackend().getSlots());
        return Math.min(MAX_SHARE, FILLED_PART * slots / Math.max(1, inFlight));
    }
}
