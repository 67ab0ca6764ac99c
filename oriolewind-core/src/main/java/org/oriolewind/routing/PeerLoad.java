package org.oriolewind.routing;

/**
 * Load of one peer as seen from this node: the calls outstanding from here, and the load that the
 * peer's last answer reported. Thread-safe.
 */
public final class PeerLoad {
    /** Concurrency limit assumed for a peer until its first report. */
    private static final int DEFAULT_LIMIT = 4;

    private int mOutstanding;
    private int mLimit = DEFAULT_LIMIT;
    private int mInFlight;
    private long mReportedMillis;
    private long mSuspectUntilMillis = Long.MIN_VALUE;
    private int mConsecutiveFailures;

    /** Counts a call sent to the peer. */
    public synchronized void onSent() {
        mOutstanding++;
    }

    /** Counts the end of a call that was sent to the peer. */
    public synchronized void onEnded() {
        mOutstanding--;
    }

    /**
     * Stores the load that an answer reported, and ends any suspicion.
     *
     * @param limit the peer's concurrency limit
     * @param inFlight calls in flight or queued at the peer's admission gate
     * @param nowMillis monotonic time
     */
    public synchronized void onReport(int limit, int inFlight, long nowMillis) {
        mLimit = Math.max(1, limit);
        mInFlight = inFlight;
        mReportedMillis = nowMillis;
        mConsecutiveFailures = 0;
        mSuspectUntilMillis = Long.MIN_VALUE;
    }

    /**
     * Records a failure to reach the peer. The peer is suspect for a time that doubles with each
     * consecutive failure.
     *
     * @param nowMillis monotonic time
     * @param baseMillis suspicion time after the first failure
     * @param maxMillis upper bound of the suspicion time
     */
    public synchronized void onUnreachable(long nowMillis, long baseMillis, long maxMillis) {
        long shift = Math.min(mConsecutiveFailures, 16);
        mConsecutiveFailures++;
        mSuspectUntilMillis = nowMillis + Math.min(maxMillis, baseMillis << shift);
    }

    /**
     * Returns whether calls to the peer failed recently, so that others are preferred.
     *
     * @param nowMillis monotonic time
     */
    public synchronized boolean isSuspect(long nowMillis) {
        return nowMillis < mSuspectUntilMillis;
    }

    /**
     * Returns how much of its concurrency limit the peer would use with one more call. A report is
     * used while it is fresh; after that only the calls outstanding from this node count.
     *
     * @param nowMillis monotonic time
     * @param freshMillis age up to which a report is fresh
     * @return load divided by limit; the peer would refuse above 1
     */
    public synchronized double utilization(long nowMillis, long freshMillis) {
        boolean fresh = nowMillis - mReportedMillis <= freshMillis;
        int load = fresh ? Math.max(mOutstanding, mInFlight) : mOutstanding;
        return (load + 1.0) / mLimit;
    }
}
