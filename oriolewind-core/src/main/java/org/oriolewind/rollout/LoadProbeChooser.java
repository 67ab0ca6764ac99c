package org.oriolewind.rollout;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.oriolewind.loadbalancing.Fleet;
import org.oriolewind.loadbalancing.FleetMember;

/**
 * Chooses which backend server of a new version is probed under load, and with which share of the
 * service's calls. Nodes with the same view of the fleet make the same choice. Not thread-safe.
 */
final class LoadProbeChooser {
    /** Part of the slots to be filled. Calls arrive unevenly, so that more of them would queue. */
    private static final double FILLED_SHARE = 0.8;

    /** Largest share; the old version keeps the other calls, for comparison. */
    private static final double MAX_SHARE = 0.9;

    private final Fleet mFleet;

    LoadProbeChooser(Fleet fleet) {
        mFleet = fleet;
    }

    /**
     * A backend server to be probed under load.
     *
     * @param node the name of the node beside it
     * @param share the share of the service's calls that fills its slots, between 0 and 1
     */
    record Probe(String node, double share) {}

    /**
     * Chooses, by node name, among the warm backend servers with a recent status; empty if there is
     * none.
     */
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
        return Math.min(MAX_SHARE, FILLED_SHARE * slots / Math.max(1, inFlight));
    }
}
