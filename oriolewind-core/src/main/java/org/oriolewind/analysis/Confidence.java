package org.oriolewind.analysis;

/** Confidence that a verdict against a version requires. */
public enum Confidence {
    /** For a single comparison of both versions in the same time window. */
    NORMAL(0.0005),
    /**
     * For repeated evaluations, as after the end of a move, or for a comparison of different
     * periods, as while the traffic share still changes.
     */
    HIGH(0.000001);

    private final double mFalseAlarmRate;

    Confidence(double falseAlarmRate) {
        mFalseAlarmRate = falseAlarmRate;
    }

    /**
     * Returns the probability that a single evaluation finds a good version bad.
     *
     * @return the probability, between 0 and 1
     */
    public double falseAlarmRate() {
        return mFalseAlarmRate;
    }
}
