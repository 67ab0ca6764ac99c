package org.oriolewind.rollout;

/** The stages of a rollout, as a node sees it. The names of the constants appear in log lines. */
public enum RolloutStage {
    /** The new version gets a small share, distributed over its backend servers. */
    COMPARE(1000),
    /** One backend server of the new version gets enough calls to fill its slots. */
    PROBE(250),
    /** The new version gets all calls, and the rollout is completed if it handles them. */
    TAKE_OVER(250);

    private final long mReportIntervalMillis;

    RolloutStage(long reportIntervalMillis) {
        mReportIntervalMillis = reportIntervalMillis;
    }

    /**
     * Returns the interval between reports of counts to other nodes.
     *
     * @return milliseconds; short in stages in which a bad version gets many calls
     */
    public long reportIntervalMillis() {
        return mReportIntervalMillis;
    }
}
