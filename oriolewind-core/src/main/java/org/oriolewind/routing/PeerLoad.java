package org.oriolewind.routing;

/**
 * What one node knows of another's load: what it has outstanding there, and what the other's last
 * answer said. Safe for use by several threads.
 */
public final class PeerLoad {
    private static final int UNKNOWN_LIMIT = 4;

    private int mOutstanding;
    private int mLimit = UNKNOWN_LIMIT;
    private int mInFlight;
    private long mReportedMillis;
    private long mSuspectUntilMillis = Long.MIN_VALUE;
    private int mFailuresInRow;

    /** Counts a call that is sent. */
    public synchronized void onSent() {
        mOutstanding++;
    }

    /** Counts the end of a call that was sent. */
    public synchronized void onEnded() {
        mOutstanding--;
    }

    /**
     * Takes the load that an answer carries.
     *
     * @param limit the gate's concurrency limit
     * @param inFlight calls in flight at the gate
     * @param nowMillis monotonic time
     */
    public synchronized void onReport(int limit, int inFlight, long nowMillis) {
        mLimit = Math.max(1, limit);
        mInFlight = inFlight;
        mReportedMillis = nowMillis;
        mFailuresInRow = 0;
        mSuspectUntilMillis = Long.MIN_VALUE;
    }

    /**
     * Takes a failure to reach the node. It gets no calls for a time that doubles with each failure
     * in a row.
     *
     * @param nowMillis monotonic time
     * @param baseMillis the time after the first failure
     * @param maxMillis the longest time
     */
    public synchronized void onUnreachable(long nowMillis, long baseMillis, long maxMillis) {
        long shift = Math.min(mFailuresInRow, 16);
        mFailuresInRow++;
        mSuspectUntilMillis = nowMillis + Math.min(maxMillis, baseMillis << shift);
    }

    /**
     * Returns whether calls to the node failed lately.
     *
     * @param nowMillis monotonic time
     * @return true if it shall be passed over
     */
    public synchronized boolean isSuspect(long nowMillis) {
        return nowMillis < mSuspectUntilMillis;
    }

    /**
     * Returns how much of its limit the node uses. A report counts for as long as it is fresh;
     * afterwards only the calls outstanding from here count.
     *
     * @param nowMillis monotonic time
     * @param freshMillis time for which a report is fresh
     * @return load divided by limit; over 1 the node would refuse
     */
    public synchronized double utilization(long nowMillis, long freshMillis) {
        boolean fresh = nowMillis - mReportedMillis <= freshMillis;
        int load = fresh ? Math.max(mOutstanding, mInFlight) : mOutstanding;
        return (load + 1.0) / mLimit;
    }
}
