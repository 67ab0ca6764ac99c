package org.oriolewind.analysis;

import org.apache.commons.statistics.distribution.BetaDistribution;

/**
 * A number of calls and how many of them have a property, such as failed or slow. Immutable.
 *
 * @param hits the number of calls with the property
 * @param total the number of all calls
 */
public record Proportion(long hits, long total) {
    /** Smallest proportion assumed, since no finite number of calls shows that it is zero. */
    private static final double MIN_ESTIMATE = 0.005;

    private static final double MAX_ESTIMATE = 0.9;

    private static final double UPPER_CONFIDENCE = 0.99;

    /**
     * Returns an upper bound of the proportion: under a uniform prior the proportion is below it
     * with a probability of {@value #UPPER_CONFIDENCE}. Few calls give a high bound, so that a
     * small sample of the old version does not make the new one look bad.
     *
     * @return the bound, limited so that its logarithm is finite
     */
    public double upperBound() {
        BetaDistribution posterior = BetaDistribution.of(hits + 1.0, total - hits + 1.0);
        double bound = posterior.inverseCumulativeProbability(UPPER_CONFIDENCE);
        return Math.min(MAX_ESTIMATE, Math.max(MIN_ESTIMATE, bound));
    }

    /**
     * Estimates the proportion with half a hit and one call added, so that few calls have little
     * weight.
     *
     * @return the estimate, limited so that its logarithm is finite
     */
    public double estimate() {
        double raw = (hits + 0.5) / (total + 1.0);
        double observed = total == 0 ? 0 : raw;
        return Math.min(MAX_ESTIMATE, Math.max(MIN_ESTIMATE, observed));
    }
}
