package org.oriolewind.routing;

/**
 * Limits retries to a share of the calls, so that retries can't multiply an overload. A token
 * bucket that calls fill and retries drain. Thread-safe.
 */
public final class RetryBudget {
    private final double mRetriesPerCall;
    private final double mMaxTokens;
    private double mTokens;

    /**
     * Creates a full budget.
     *
     * @param retriesPerCall tokens that each call adds
     * @param maxTokens capacity of the bucket, in retries
     */
    public RetryBudget(double retriesPerCall, double maxTokens) {
        mRetriesPerCall = retriesPerCall;
        mMaxTokens = maxTokens;
        mTokens = maxTokens;
    }

    /** Adds the tokens of a new call. */
    public synchronized void onCall() {
        mTokens = Math.min(mMaxTokens, mTokens + mRetriesPerCall);
    }

    /**
     * Removes the token for one retry.
     *
     * @return false if the budget is exhausted
     */
    public synchronized boolean tryRetry() {
        if (mTokens < 1) {
            return false;
        }
        mTokens--;
        return true;
    }
}
