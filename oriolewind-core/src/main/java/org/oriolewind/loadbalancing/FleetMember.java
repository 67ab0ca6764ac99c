package org.oriolewind.loadbalancing;

import org.oriolewind.wire.BackendPhase;
import org.oriolewind.wire.CallAnswer;
import org.oriolewind.wire.NodeStatus;

/**
 * One node as another one knows it: its latest status, and the load that answers have shown since.
 * Not safe for use by several threads.
 */
public final class FleetMember {
    /** Passed over for this long after a failure; doubles with each failure in a row. */
    private static final long SUSPECT_BASE_MILLIS = 200;

    private static final long SUSPECT_MAX_MILLIS = 2000;

    /** Assumed service time of a backend server that has not answered yet, in milliseconds. */
    private static final double UNKNOWN_SERVICE_MILLIS = 200;

    private static final double MICROS_PER_MILLI = 1000.0;

    private final RouteCosts mRouteCosts;
    private NodeStatus mStatus;
    private long mHeardMillis;
    private int mLimit;
    private int mLoad;
    private int mSentSinceReport;
    private long mMeanMicros;
    private int mFailuresInRow;
    private boolean mStalled;
    private long mSuspectUntilMillis = Long.MIN_VALUE;
    private long mLastSentMillis = Long.MIN_VALUE / 2;

    FleetMember(NodeStatus status, RouteCosts routeCosts, long nowMillis) {
        mRouteCosts = routeCosts;
        onStatus(status, nowMillis);
    }

    void onStatus(NodeStatus status, long nowMillis) {
        boolean restarted = mStatus != null && status.getIncarnation() != mStatus.getIncarnation();
        if (restarted) {
            mFailuresInRow = 0;
            mSuspectUntilMillis = Long.MIN_VALUE;
        }
        mStatus = status;
        mHeardMillis = nowMillis;
        report(status.getLimit(), status.getInFlight(), status.getMeanServiceMicros());
    }

    private void report(int limit, int load, long meanMicros) {
        mStalled = false;
        mLimit = Math.max(1, limit);
        mLoad = load;
        mSentSinceReport = 0;
        mMeanMicros = meanMicros;
    }

    /**
     * Counts a call that is sent there.
     *
     * @param nowMillis monotonic time
     */
    public void onSent(long nowMillis) {
        mSentSinceReport++;
        mLastSentMillis = nowMillis;
    }

    /**
     * Takes the load that an answer carries, and the time that its route took.
     *
     * @param route the route's name
     * @param answer the answer
     */
    public void onAnswer(String route, CallAnswer answer) {
        mRouteCosts.onAnswer(route, answer);
        if (answer.getLimit() > 0) {
            report(answer.getLimit(), answer.getInFlight(), answer.getMeanServiceMicros());
            mFailuresInRow = 0;
        }
    }

    /**
     * Takes that the node could not be reached.
     *
     * @param nowMillis monotonic time
     */
    public void onUnreachable(long nowMillis) {
        long pause = SUSPECT_BASE_MILLIS << Math.min(mFailuresInRow, 8);
        mFailuresInRow++;
        mSuspectUntilMillis = nowMillis + Math.min(SUSPECT_MAX_MILLIS, pause);
    }

    void onPeerUnresponsive() {
        mStalled = true;
    }

    /**
     * Returns whether the node gives no sign of life.
     *
     * @return true until something is heard of it
     */
    public boolean isUnresponsive() {
        return mStalled;
    }

    /**
     * Returns whether calls to the node failed lately.
     *
     * @param nowMillis monotonic time
     * @return true if it shall be passed over
     */
    public boolean isSuspect(long nowMillis) {
        return nowMillis < mSuspectUntilMillis;
    }

    /**
     * Returns the time since the latest status.
     *
     * @param nowMillis monotonic time
     * @return milliseconds
     */
    public long millisSinceStatus(long nowMillis) {
        return nowMillis - mHeardMillis;
    }

    /**
     * Returns the time since a call was sent there.
     *
     * @param nowMillis monotonic time
     * @return milliseconds
     */
    public long idleMillis(long nowMillis) {
        return nowMillis - mLastSentMillis;
    }

    /**
     * Returns whether the backend server takes calls of a service.
     *
     * @param service the service
     * @return true if it is ready and the node does not leave
     */
    public boolean serves(String service) {
        return !mStatus.getLeaving()
                && mStatus.getBackend().getPhase() == BackendPhase.BACKEND_PHASE_READY
                && mStatus.getBackend().getService().equals(service);
    }

    /**
     * Returns the time that a call sent now is expected to take there: its wait for a slot and the
     * time of its own route.
     *
     * @param route the route's name
     * @return milliseconds
     */
    public double expectedMillis(String route) {
        double mean = mMeanMicros > 0 ? mMeanMicros / MICROS_PER_MILLI : UNKNOWN_SERVICE_MILLIS;
        double ahead = Math.max(0, load() + 1 - mLimit);
        return mean * (ahead / mLimit + mRouteCosts.multiple(route).orElse(1.0));
    }

    /**
     * Returns the calls that are in flight or wait at the node, as far as is known here.
     *
     * @return the number at the latest report, with those sent since
     */
    public int load() {
        return mLoad + mSentSinceReport;
    }

    /**
     * Returns the latest status.
     *
     * @return the status
     */
    public NodeStatus status() {
        return mStatus;
    }
}
