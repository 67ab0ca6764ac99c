package org.oriolewind.analysis;

import org.apache.commons.statistics.distribution.BetaDistribution;

/**
 * A number of calls and how many of them showed a property. Immutable.
 *
 * @param hits the calls with the property
 * @param total all calls
 */
public record Proportion(long hits, long total) {
    /** Smallest proportion assumed; no finite number of calls shows that it is zero. */
    private static final double MIN_ESTIMATE = 0.005;

    private static final double MAX_ESTIMATE = 0.9;

    private static final double UPPER_CONFIDENCE = 0.99;

    /**
     * Bounds the proportion from above: under a uniform prior it is lower with a probability of
     * {@value #UPPER_CONFIDENCE}. Few calls give a high bound, so that they accuse nobody.
     *
     * @return the bound, within limits that keep its logarithm finite
     */
    public double upperBound() {
        BetaDistribution posterior = BetaDistribution.of(hits + 1.0, total - hits + 1.0);
        double bound = posterior.inverseCumulativeProbability(UPPER_CONFIDENCE);
        return Math.min(MAX_ESTIMATE, Math.max(MIN_ESTIMATE, bound));
    }

    /**
     * Estimates the proportion, with half a hit added so that few calls say little.
     *
     * @return the estimate, within bounds that keep its logarithm finite
     */
    public double estimate() {
        double raw = (hits + 0.5) / (total + 1.0);
        double observed = total == 0 ? 0 : raw;
        return Math.min(MAX_ESTIMATE, Math.max(MIN_ESTIMATE, observed));
    }
}
