package org.oriolewind.analysis;

import org.apache.commons.statistics.distribution.BetaDistribution;

/**
 * Rules that decide whether a proportion of calls (failed ones, slow ones) is worse with the new
 * version than with the old. Stateless.
 */
public enum ProportionRule {
    /**
     * Wald's sequential probability ratio test of the old version's proportion against a mixture of
     * a worse one and a gross one, so that a version that fails all the time is found in few calls.
     * Error rates: that of the certainty for a good version found bad, {@value #FALSE_GOOD} for a
     * bad one found good.
     */
    SEQUENTIAL_RATIO {
        @Override
        public Verdict judge(
                Proportion oldCalls,
                Proportion newCalls,
                double smallestHarm,
                Confidence certainty) {
            double p0 = oldCalls.upperBound();
            double p1 = Math.min(MAX_PROPORTION, Math.max(p0 * HARM_FACTOR, p0 + smallestHarm));
            double ratio = logRatio(newCalls, p0, p1);
            double gross = p1 < GROSS_HARM ? logRatio(newCalls, p0, GROSS_HARM) : ratio;
            // The mean of the two ratios is a ratio against a mixture, with the same error rate.
            double mixed = Math.max(ratio, gross) + Math.log(MIXTURE_WEIGHT);
            if (mixed >= Math.log((1 - FALSE_GOOD) / certainty.falseAlarmRate())) {
                return Verdict.BAD;
            }
            if (ratio <= Math.log(FALSE_GOOD / (1 - certainty.falseAlarmRate()))) {
                return Verdict.GOOD;
            }
            return Verdict.OPEN;
        }
    },

    /**
     * Posterior odds: bad when the new version's proportion, under a uniform prior, almost surely
     * exceeds the old one by half the harm; good when it almost surely stays below the whole harm.
     */
    POSTERIOR {
        @Override
        public Verdict judge(
                Proportion oldCalls,
                Proportion newCalls,
                double smallestHarm,
                Confidence certainty) {
            double misses = newCalls.total() - newCalls.hits();
            BetaDistribution posterior = BetaDistribution.of(newCalls.hits() + 1, misses + 1);
            double p0 = oldCalls.upperBound();
            double harm = Math.max(smallestHarm, p0 * (HARM_FACTOR - 1));
            if (posterior.survivalProbability(Math.min(1, p0 + harm / 2))
                    > 1 - certainty.falseAlarmRate()) {
                return Verdict.BAD;
            }
            if (posterior.cumulativeProbability(Math.min(1, p0 + harm)) > 1 - FALSE_GOOD) {
                return Verdict.GOOD;
            }
            return Verdict.OPEN;
        }
    },

    /** Bad when the observed proportion exceeds the old one by the harm, after a fixed number. */
    FIXED_THRESHOLD {
        @Override
        public Verdict judge(
                Proportion oldCalls,
                Proportion newCalls,
                double smallestHarm,
                Confidence certainty) {
            if (newCalls.total() < FIXED_CALLS) {
                return Verdict.OPEN;
            }
            double observed = (double) newCalls.hits() / newCalls.total();
            return observed > oldCalls.estimate() + smallestHarm ? Verdict.BAD : Verdict.GOOD;
        }
    };

    /** Rate at which a bad version is found good in one step. */
    static final double FALSE_GOOD = 0.01;

    private static final double HARM_FACTOR = 3;

    /** Proportion of a version that is grossly bad. */
    private static final double GROSS_HARM = 0.6;

    /** Weight of each part of the mixture; the larger part alone bounds the mixture from below. */
    private static final double MIXTURE_WEIGHT = 0.5;

    private static final double MAX_PROPORTION = 0.98;
    private static final int FIXED_CALLS = 100;

    /**
     * Judges the new version.
     *
     * @param oldCalls counts of the old version
     * @param newCalls counts of the new version in the same window
     * @param smallestHarm the smallest rise of the proportion that matters
     * @param certainty how sure a verdict against the new version has to be
     * @return the verdict
     */
    public abstract Verdict judge(
            Proportion oldCalls, Proportion newCalls, double smallestHarm, Confidence certainty);

    private static double logRatio(Proportion calls, double p0, double p1) {
        double misses = calls.total() - calls.hits();
        return calls.hits() * Math.log(p1 / p0) + misses * Math.log((1 - p1) / (1 - p0));
    }
}
