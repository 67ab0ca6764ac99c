package org.oriolewind.routing;

/**
 * Bounds retries to a share of the calls, so that retries can't multiply an overload. Safe for use
 * by several threads.
 */
public final class RetryBudget {
    private final double mRetriesPerCall;
    private final double mMaxSaved;
    private double mSaved;

    /**
     * Creates a budget.
     *
     * @param retriesPerCall retries earned by each call
     * @param maxSaved the most retries that can be saved up; the budget starts with as many
     */
    public RetryBudget(double retriesPerCall, double maxSaved) {
        mRetriesPerCall = retriesPerCall;
        mMaxSaved = maxSaved;
        mSaved = maxSaved;
    }

    /** Counts a new call. */
    public synchronized void onCall() {
        mSaved = Math.min(mMaxSaved, mSaved + mRetriesPerCall);
    }

    /**
     * Takes one retry out of the budget.
     *
     * @return false if the budget is used up
     */
    public synchronized boolean tryRetry() {
        if (mSaved < 1) {
            return false;
        }
        mSaved--;
        return true;
    }
}
