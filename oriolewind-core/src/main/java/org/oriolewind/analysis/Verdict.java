package org.oriolewind.analysis;

/** What evidence says about a version. */
public enum Verdict {
    /** No worse than the old version. */
    GOOD,
    /** Worse than the old version. */
    BAD,
    /** Too few calls to tell. */
    OPEN
}
