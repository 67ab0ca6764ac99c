package org.oriolewind.rollout;

/** Confidence that a verdict against a version requires. */
public enum Certainty {
    /** For a single comparison of both versions in the same time window. */
    NORMAL(0.0005),
    /**
     * For repeated evaluations, as after the end of a move, or for a comparison of different
     * periods, as while the traffic share still changes.
     */
    HIGH(0.000001);

    private final double mFalseAlarmRate;

    Certainty(double falseBad) {
        mFalseAlarmRate = falseBad;
    }

    /**
     * Returns the probability that a single evaluation finds a good version bad.
     *
     * @return the probability, between 0 and 1
     */
    public double falseBad() {
        return mFalseAlarmRate;
    }
}
