package org.oriolewind.node.call;

/**
 * Limits towards callers. Immutable.
 *
 * @param maxBodyBytes the largest body of a call or an answer
 * @param callTimeoutMillis time for a call whose caller sets none
 * @param maxHops services that a call may pass
 * @param maxStreams calls in progress on one connection between nodes
 * @param retriesPerCall retries earned by each call
 * @param callEventShare share of calls whose events are recorded
 */
public record CallerLimits(
        int maxBodyBytes,
        int callTimeoutMillis,
        int maxHops,
        int maxStreams,
        double retriesPerCall,
        double callEventShare) {}
