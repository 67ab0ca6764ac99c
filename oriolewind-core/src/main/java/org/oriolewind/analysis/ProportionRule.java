package org.oriolewind.analysis;

import org.apache.commons.statistics.distribution.BetaDistribution;

/**
 * Statistical rules that decide whether a proportion of calls (failed or slow ones) is higher with
 * the new version than with the old one. Stateless.
 */
public enum ProportionRule {
    /**
     * Wald's sequential probability ratio test of the old version's proportion against a mixture of
     * a worse proportion and a gross one, so that a version that fails most calls is found within
     * few of them. Error rates: {@link Confidence#falseAlarmRate()} for a good version found bad,
     * {@value #MISSED_FAULT_RATE} for a bad version found good.
     */
    SEQUENTIAL_RATIO {
        @Override
        public Verdict evaluate(
                Proportion oldProportion,
                Proportion newProportion,
                double minRise,
                Confidence confidence) {
            double p0 = oldProportion.upperBound();
            double p1 = Math.min(MAX_PROPORTION, Math.max(p0 * RISE_FACTOR, p0 + minRise));
            double ratio = logRatio(newProportion, p0, p1);
            double gross =
                    p1 < GROSS_PROPORTION ? logRatio(newProportion, p0, GROSS_PROPORTION) : ratio;
            // The mean of the two likelihood ratios is the ratio against their mixture and has the
            // same error rate.
            double mixed = Math.max(ratio, gross) + Math.log(MIXTURE_WEIGHT);
            if (mixed >= Math.log((1 - MISSED_FAULT_RATE) / confidence.falseAlarmRate())) {
                return Verdict.BAD;
            }
            if (ratio <= Math.log(MISSED_FAULT_RATE / (1 - confidence.falseAlarmRate()))) {
                return Verdict.GOOD;
            }
            return Verdict.OPEN;
        }
    },

    /**
     * Bayesian comparison with a uniform prior: bad if the new version's proportion almost surely
     * exceeds the old one by half the smallest relevant rise, good if it almost surely stays below
     * the full rise.
     */
    POSTERIOR {
        @Override
        public Verdict evaluate(
                Proportion oldProportion,
                Proportion newProportion,
                double minRise,
                Confidence confidence) {
            double misses = newProportion.total() - newProportion.hits();
            BetaDistribution posterior = BetaDistribution.of(newProportion.hits() + 1, misses + 1);
            double p0 = oldProportion.upperBound();
            double rise = Math.max(minRise, p0 * (RISE_FACTOR - 1));
            if (posterior.survivalProbability(Math.min(1, p0 + rise / 2))
                    > 1 - confidence.falseAlarmRate()) {
                return Verdict.BAD;
            }
            if (posterior.cumulativeProbability(Math.min(1, p0 + rise)) > 1 - MISSED_FAULT_RATE) {
                return Verdict.GOOD;
            }
            return Verdict.OPEN;
        }
    },

    /**
     * Comparison after a fixed number of calls: bad if the observed proportion exceeds the old one
     * by the smallest relevant rise.
     */
    FIXED_THRESHOLD {
        @Override
        public Verdict evaluate(
                Proportion oldProportion,
                Proportion newProportion,
                double minRise,
                Confidence confidence) {
            if (newProportion.total() < FIXED_SAMPLE_CALLS) {
                return Verdict.OPEN;
            }
            double observed = (double) newProportion.hits() / newProportion.total();
            return observed > oldProportion.estimate() + minRise ? Verdict.BAD : Verdict.GOOD;
        }
    };

    /** Probability that a bad version is found good in one step. */
    static final double MISSED_FAULT_RATE = 0.01;

    private static final double RISE_FACTOR = 3;

    /** Proportion of failed or slow calls of a version that is grossly bad. */
    private static final double GROSS_PROPORTION = 0.6;

    /**
     * Weight of each alternative in the mixture. The larger term alone is a lower bound of the
     * mixture.
     */
    private static final double MIXTURE_WEIGHT = 0.5;

    private static final double MAX_PROPORTION = 0.98;
    private static final int FIXED_SAMPLE_CALLS = 100;

    /**
     * Compares the proportions of both versions.
     *
     * @param oldProportion proportion of the old version, from the same window or an earlier
     *     baseline
     * @param newProportion proportion of the new version in the current window
     * @param minRise the smallest relevant rise of the proportion, between 0 and 1
     * @param confidence the confidence that a verdict against the new version requires
     * @return the verdict, {@code OPEN} while the calls are too few
     */
    public abstract Verdict evaluate(
            Proportion oldProportion,
            Proportion newProportion,
            double minRise,
            Confidence confidence);

    private static double logRatio(Proportion calls, double p0, double p1) {
        double misses = calls.total() - calls.hits();
        return calls.hits() * Math.log(p1 / p0) + misses * Math.log((1 - p1) / (1 - p0));
    }
}
