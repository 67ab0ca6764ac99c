package org.oriolewind.control;

import java.time.Duration;
import java.util.List;

/**
 * Intervals, timeouts and limits of the control plane. Immutable.
 *
 * @param heartbeatInterval time between heartbeats on each control link
 * @param heartbeatTimeout time without a received frame after which a link is closed
 * @param probeInterval mean time between liveness probes of a random member
 * @param leaseDuration time without a renewal after which another node may take over a lease
 * @param watchWait longest time that a watch waits at the platform for a change
 * @param maxChildren largest number of children of a node in the control tree
 * @param seeds peer addresses dialed after known members in a search for a parent, so that a node
 *     that knows no members finds one while the platform is unavailable
 */
public record ControlSettings(
        Duration heartbeatInterval,
        Duration heartbeatTimeout,
        Duration probeInterval,
        Duration leaseDuration,
        Duration watchWait,
        int maxChildren,
        List<String> seeds) {
    /** Copies the seeds, so that later changes to the given list have no effect. */
    public ControlSettings {
        seeds = List.copyOf(seeds);
    }

    /**
     * Returns the daemon's default settings.
     *
     * @return the defaults, which have no seeds
     */
    public static ControlSettings defaults() {
        return new ControlSettings(
                Duration.ofSeconds(1),
                Duration.ofSeconds(3),
                Duration.ofSeconds(4),
                Duration.ofSeconds(6),
                Duration.ofSeconds(20),
                8,
                List.of());
    }
}
