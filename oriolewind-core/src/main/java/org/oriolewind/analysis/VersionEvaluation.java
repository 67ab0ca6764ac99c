package org.oriolewind.analysis;

import java.util.Set;
import org.oriolewind.config.MoveEvidence;

/**
 * What the evidence of a step says. Immutable.
 *
 * @param verdict the verdict over the routes: bad if any is bad, good if all that are not rare are
 * @param pooled the verdict over all calls together; good only if no route is bad
 * @param slowOnly whether a bad verdict rests on latency alone
 * @param evidence the counts of the route that decided
 * @param goodRoutes the routes whose calls show no fault
 */
public record VersionEvaluation(
        Verdict verdict,
        Verdict pooled,
        boolean slowOnly,
        MoveEvidence evidence,
        Set<String> goodRoutes) {
    /** Copies the set. */
    public VersionEvaluation {
        goodRoutes = Set.copyOf(goodRoutes);
    }
}
