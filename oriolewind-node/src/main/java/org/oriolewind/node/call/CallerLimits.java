package org.oriolewind.node.call;

/**
 * Limits on calls from callers and between nodes. Immutable.
 *
 * @param maxBodyBytes maximum size of the body of a call or an answer
 * @param callTimeoutMillis timeout of a call whose caller sets none
 * @param maxHops maximum number of services that a call may pass through
 * @param maxStreams maximum number of calls in progress on one connection between nodes
 * @param retriesPerCall retries that each call adds to the retry budget
 * @param callEventShare share of calls whose events are recorded, 0 to 1
 */
public record CallerLimits(
        int maxBodyBytes,
        int callTimeoutMillis,
        int maxHops,
        int maxStreams,
        double retriesPerCall,
        double callEventShare) {}
