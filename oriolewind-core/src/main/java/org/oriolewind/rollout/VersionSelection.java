package org.oriolewind.rollout;

/** The versions of a service that may take a call. */
public enum VersionSelection {
    /** Any version. */
    ANY(false),
    /** Any backend server of the new version, or the old version if that has no capacity left. */
    CANARY(false),
    /** The backend server of the new version that is probed under load, or the old version. */
    PROBE(true),
    /** The new version, or the old one if the new one has no capacity left. */
    NEW_FIRST(true),
    /** The old version only. */
    OLD_ONLY(false);

    private final boolean mUnderLoad;

    VersionSelection(boolean underLoad) {
        mUnderLoad = underLoad;
    }

    /**
     * Returns whether calls with this selection show the new version under full load.
     *
     * @return true if their latency is compared with an allowance for load
     */
    public boolean isUnderLoad() {
        return mUnderLoad;
    }

    /**
     * Returns the selection for the retry of a call that a backend server failed.
     *
     * @return the old version only while the new one is still a canary; otherwise this selection
     */
    public VersionSelection afterFailure() {
        return this == CANARY || this == PROBE ? OLD_ONLY : this;
    }
}
