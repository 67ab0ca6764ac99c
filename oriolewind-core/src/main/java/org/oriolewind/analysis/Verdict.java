package org.oriolewind.analysis;

/** Result of a comparison of a new version with the old one. */
public enum Verdict {
    /** No worse than the old version. */
    GOOD,
    /** Worse than the old version. */
    BAD,
    /** Too few calls to decide. */
    OPEN
}
