package org.oriolewind.config;

/**
 * The counts behind the latest decision about a move. Immutable.
 *
 * @param route the route that decided, or {@code *} for all routes together
 * @param newCalls calls to the new version
 * @param newFailures failed calls to the new version
 * @param newSlow calls to the new version above the old version's latency quantile
 * @param oldCalls calls to the old version in the same window or from the baseline
 * @param oldFailures failed calls to the old version
 * @param oldSlow calls to the old version above its latency quantile
 * @param reason what the counts show, for a person
 */
public record MoveEvidence(
        String route,
        long newCalls,
        long newFailures,
        long newSlow,
        long oldCalls,
        long oldFailures,
        long oldSlow,
        String reason) {}
