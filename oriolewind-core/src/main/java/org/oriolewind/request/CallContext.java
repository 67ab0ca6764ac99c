package org.oriolewind.request;

import java.util.random.RandomGenerator;
import org.oriolewind.config.InstalledConfig;
import org.oriolewind.time.NodeClock;
import org.oriolewind.wire.Member;

/**
 * What the parts of the request path share. Immutable; its parts are safe for use by several
 * threads.
 *
 * @param self this node's entry
 * @param clock the clock
 * @param random source of choices
 * @param config the configuration in force
 * @param events takes the events of calls
 * @param meter takes figures
 */
public record CallContext(
        Member self,
        NodeClock clock,
        RandomGenerator random,
        InstalledConfig config,
        CallEventSampler events,
        CallObserver meter) {}
