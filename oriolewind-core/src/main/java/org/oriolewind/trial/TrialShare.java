package org.oriolewind.trial;

/** Which versions of a service may take a call. */
public enum TrialShare {
    /** Any version. */
    ANY,
    /** The new version, or the old one if the new one has no room. */
    NEW_FIRST,
    /** The old version only. */
    OLD_ONLY
}
