package org.oriolewind.config;

/**
 * The counts on which the latest decision about a move rests. Immutable.
 *
 * @param route the route that decided, or {@code *} if no single one did
 * @param newCalls calls to the new version
 * @param newFailures failed calls among them
 * @param newSlow calls among them slower than the old version's slow quantile
 * @param oldCalls calls to the old version in the same window
 * @param oldFailures failed calls among them
 * @param oldSlow slow calls among them
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
