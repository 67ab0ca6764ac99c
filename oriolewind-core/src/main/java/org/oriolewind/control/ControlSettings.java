package org.oriolewind.control;

import java.time.Duration;
import java.util.List;

/**
 * Settings of the control side. Immutable.
 *
 * @param heartbeatInterval time between heartbeats on a link
 * @param heartbeatTimeout silence after which a link is given up
 * @param probeInterval time between liveness checks of a random member
 * @param leaseDuration time after which a lease that is not renewed may be taken over
 * @param watchWait longest wait of a watch at the platform
 * @param maxChildren children of a node in the control tree
 * @param seeds peer addresses to try when the platform is away
 */
public record ControlSettings(
        Duration heartbeatInterval,
        Duration heartbeatTimeout,
        Duration probeInterval,
        Duration leaseDuration,
        Duration watchWait,
        int maxChildren,
        List<String> seeds) {
    /** Copies the list. */
    public ControlSettings {
        seeds = List.copyOf(seeds);
    }

    /**
     * Returns the settings that the daemon ships with.
     *
     * @return the settings, without seeds
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
