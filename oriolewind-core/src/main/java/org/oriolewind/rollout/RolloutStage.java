package org.oriolewind.rollout;

/** How far a trial is, as a node sees it. */
public enum RolloutStage {
    /** The new version gets a small share, spread over its backend servers. */
    COMPARE(1000),
    /** One of its backend servers gets as many calls as it has slots for. */
    PROBE(250),
    /** It gets all calls, and the outcome is written if it bears them. */
    TAKE_OVER(250);

    private final long mReportMillis;

    RolloutStage(long reportIntervalMillis) {
        mReportMillis = reportIntervalMillis;
    }

    /**
     * Returns the time between reports of counts to other nodes.
     *
     * @return milliseconds; short where many calls are at stake
     */
    public long reportIntervalMillis() {
        return mReportMillis;
    }
}
