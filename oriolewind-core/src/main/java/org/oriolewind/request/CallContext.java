package org.oriolewind.request;

import java.util.random.RandomGenerator;
import org.oriolewind.config.InstalledConfig;
import org.oriolewind.time.NodeClock;
import org.oriolewind.wire.Member;

/**
 * Collaborators that the classes of the request pipeline share. Immutable; the collaborators are
 * thread-safe.
 *
 * @param self this node's member entry
 * @param clock measures deadlines and durations
 * @param random source of random choices and of nonces
 * @param config the configuration in force
 * @param events records the events of sampled calls
 * @param observer observes calls for metrics
 */
public record CallContext(
        Member self,
        NodeClock clock,
        RandomGenerator random,
        InstalledConfig config,
        CallEventSampler events,
        CallObserver observer) {}
