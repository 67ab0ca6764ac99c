package org.oriolewind.analysis;

import java.util.Set;
import org.oriolewind.config.MoveEvidence;

/**
 * Result of comparing a new version with the old one on the evidence of one window. Immutable.
 *
 * @param verdict the verdict over the routes: bad if any route is bad, good if all routes but the
 *     rare ones are good
 * @param pooled the verdict over the calls of all routes together; good only if no route is bad
 * @param slowOnly whether a bad verdict rests on latency alone
 * @param evidence the counts of the bad route, or of all routes together if none is bad
 * @param goodRoutes the routes on which the new version is no worse; empty if any route is bad
 */
public record VersionEvaluation(
        Verdict verdict,
        Verdict pooled,
        boolean slowOnly,
        MoveEvidence evidence,
        Set<String> goodRoutes) {
    /** Copies the set of routes. */
    public VersionEvaluation {
        goodRoutes = Set.copyOf(goodRoutes);
    }
}
