package org.oriolewind.lease;

/** Whether a node tries to acquire a lease that it does not hold, and how soon after expiry. */
public enum Candidacy {
    /** The node neither reads nor acquires the lease. One that holds it keeps renewing it. */
    NONE(0),
    /** The designated successor, which takes over an expired lease almost at once. */
    SUCCESSOR(100),
    /** One of many candidates; a random wait keeps them from writing at the same time. */
    ANY(2000);

    private final long mJitterMillis;

    Candidacy(long jitterMillis) {
        mJitterMillis = jitterMillis;
    }

    /** Returns the upper bound of the random wait between expiry and the attempt to take over. */
    long jitterMillis() {
        return mJitterMillis;
    }
}
