package org.oriolewind.policy;

/** How far a trial of a version has come. */
public enum RolloutPhase {
    /** The new version takes a small share while it is compared with the old one. */
    RUNNING(false),
    /** The new version has taken over. */
    COMPLETED(true),
    /** The new version was found bad. */
    ROLLED_BACK(true);

    private final boolean mFinal;

    RolloutPhase(boolean isFinal) {
        mFinal = isFinal;
    }

    /**
     * Returns whether the phase is the last one.
     *
     * @return true if nothing follows
     */
    public boolean isFinal() {
        return mFinal;
    }
}
