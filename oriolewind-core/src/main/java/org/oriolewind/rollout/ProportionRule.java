package org.oriolewind.rollout;

/**
 * Rules that decide whether a proportion of calls (failed ones, slow ones) is worse with the new
 * version than with the old. Stateless.
 */
public enum ProportionRule {
    /**
     * Wald's sequential probability ratio test of the old version's proportion against a worse one.
     * Error rates: {@value #FALSE_BAD} for a good version found bad, {@value #FALSE_GOOD} for a bad
     * one found good.
     */
    SEQUENTIAL_RATIO {
        @Override
        public Verdict judge(Proportion oldCalls, Proportion newCalls, double smallestHarm) {
            double p0 = oldCalls.estimate();
            double p1 = Math.min(MAX_PROPORTION, Math.max(p0 * HARM_FACTOR, p0 + smallestHarm));
            double hits = newCalls.hits();
            double misses = newCalls.total() - hits;
            double ratio = hits * Math.log(p1 / p0) + misses * Math.log((1 - p1) / (1 - p0));
            if (ratio >= Math.log((1 - FALSE_GOOD) / FALSE_BAD)) {
                return Verdict.BAD;
            }
            if (ratio <= Math.log(FALSE_GOOD / (1 - FALSE_BAD))) {
                return Verdict.GOOD;
            }
            return Verdict.OPEN;
        }
    },

    /** Bad when the observed proportion exceeds the old one by the harm, after a fixed number. */
    FIXED_THRESHOLD {
        @Override
        public Verdict judge(Proportion oldCalls, Proportion newCalls, double smallestHarm) {
            if (newCalls.total() < FIXED_CALLS) {
                return Verdict.OPEN;
            }
            double observed = (double) newCalls.hits() / newCalls.total();
            return observed > oldCalls.estimate() + smallestHarm ? Verdict.BAD : Verdict.GOOD;
        }
    };

    /** Rate at which a good version is found bad. */
    static final double FALSE_BAD = 0.0005;

    /** Rate at which a bad version is found good in one step. */
    static final double FALSE_GOOD = 0.01;

    private static final double HARM_FACTOR = 3;
    private static final double MAX_PROPORTION = 0.98;
    private static final int FIXED_CALLS = 100;

    /**
     * Judges the new version.
     *
     * @param oldCalls counts of the old version
     * @param newCalls counts of the new version in the same window
     * @param smallestHarm the smallest rise of the proportion that matters
     * @return the verdict
     */
    public abstract Verdict judge(Proportion oldCalls, Proportion newCalls, double smallestHarm);
}
