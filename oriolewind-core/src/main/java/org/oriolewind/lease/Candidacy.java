package org.oriolewind.lease;

/** How much a node wants a lease that it does not hold. */
public enum Candidacy {
    /** The lease is left alone. */
    NONE(0),
    /** The named successor, which takes an expired lease over at once. */
    SUCCESSOR(100),
    /** One of many, each of which waits for a random time so that few write at once. */
    ANY(2000);

    private final long mJitterMillis;

    Candidacy(long jitterMillis) {
        mJitterMillis = jitterMillis;
    }

    /** Returns the longest random wait between expiry and the attempt to take over. */
    long jitterMillis() {
        return mJitterMillis;
    }
}
