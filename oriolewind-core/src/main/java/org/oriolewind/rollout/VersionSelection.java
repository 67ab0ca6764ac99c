package org.oriolewind.rollout;

/** Which versions of a service may take a call. */
public enum VersionSelection {
    /** Any version. */
    ANY(false),
    /** Any backend server of the new version, or the old version if that has no room. */
    SAMPLE(false),
    /** The backend server of the new version that is probed under load, or the old version. */
    PROBE(true),
    /** The new version, or the old one if the new one has no room. */
    NEW_FIRST(true),
    /** The old version only. */
    OLD_ONLY(false);

    private final boolean mUnderLoad;

    VersionSelection(boolean underLoad) {
        mUnderLoad = underLoad;
    }

    /**
     * Returns whether calls of this share show the new version under the load of a takeover.
     *
     * @return true if they do
     */
    public boolean isUnderLoad() {
        return mUnderLoad;
    }

    /**
     * Returns the share of a call that goes on after a backend server failed it.
     *
     * @return the old version only, while the new one is still on trial
     */
    public VersionSelection afterFailure() {
        return this == SAMPLE || this == PROBE ? OLD_ONLY : this;
    }
}
