package org.oriolewind.rollout;

import org.oriolewind.config.MoveEvidence;

/**
 * A verdict and the counts behind it. Immutable.
 *
 * @param verdict the verdict
 * @param evidence the counts of the route that decided
 */
public record Judgement(Verdict verdict, MoveEvidence evidence) {}
