package org.oriolewind.policy;

/** Phase of a rollout, as stored in its document. */
public enum RolloutPhase {
    /**
     * The target version takes a small share of the traffic and is compared with the old version.
     */
    RUNNING(false),
    /** The target version takes all traffic. */
    COMPLETED(true),
    /** The target version was found faulty, and the old version takes all traffic again. */
    ROLLED_BACK(true);

    private final boolean mFinal;

    RolloutPhase(boolean isFinal) {
        mFinal = isFinal;
    }

    /** Returns whether no other phase follows this one. */
    public boolean isFinal() {
        return mFinal;
    }
}
