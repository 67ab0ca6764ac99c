package org.oriolewind.analysis;

/** How sure a verdict against a version has to be. */
public enum Confidence {
    /** For one look at counts of both versions from the same time. */
    NORMAL(0.0005),
    /**
     * For looks that are many, as after the end of a move, or that compare times which differ, as
     * while the share still shifts.
     */
    HIGH(0.000001);

    private final double mFalseBad;

    Confidence(double falseAlarmRate) {
        mFalseBad = falseAlarmRate;
    }

    /**
     * Returns the rate at which a good version may be found bad.
     *
     * @return the rate for one look
     */
    public double falseAlarmRate() {
        return mFalseBad;
    }
}
