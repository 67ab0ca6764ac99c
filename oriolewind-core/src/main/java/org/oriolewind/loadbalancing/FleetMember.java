package org.oriolewind.loadbalancing;

import org.oriolewind.wire.BackendPhase;
import org.oriolewind.wire.CallAnswer;
import org.oriolewind.wire.NodeStatus;

/**
 * A node as seen from this node: its latest status, and the load that answers have reported since.
 * Not thread-safe.
 */
public final class FleetMember {
    /**
     * Time after a failure for which other nodes are preferred. Doubles with each consecutive
     * failure.
     */
    private static final long SUSPECT_BASE_MILLIS = 200;

    private static final long SUSPECT_MAX_MILLIS = 2000;

    /** Mean service time assumed for a backend server that has not answered yet. */
    private static final double DEFAULT_SERVICE_MILLIS = 200;

    private static final double MICROS_PER_MILLI = 1000.0;

    private final RouteCosts mRouteCosts;
    private NodeStatus mStatus;
    private long mStatusReceivedMillis;
    private int mLimit;
    private int mLoad;
    private int mSentSinceReport;
    private long mMeanMicros;
    private int mConsecutiveFailures;
    private boolean mUnresponsive;
    private long mSuspectUntilMillis = Long.MIN_VALUE;
    private long mLastSentMillis = Long.MIN_VALUE / 2;

    FleetMember(NodeStatus status, RouteCosts routeCosts, long nowMillis) {
        mRouteCosts = routeCosts;
        onStatus(status, nowMillis);
    }

    void onStatus(NodeStatus status, long nowMillis) {
        boolean restarted = mStatus != null && status.getIncarnation() != mStatus.getIncarnation();
        if (restarted) {
            mConsecutiveFailures = 0;
            mSuspectUntilMillis = Long.MIN_VALUE;
        }
        mStatus = status;
        mStatusReceivedMillis = nowMillis;
        updateLoad(status.getLimit(), status.getInFlight(), status.getMeanServiceMicros());
    }

    private void updateLoad(int limit, int load, long meanMicros) {
        mUnresponsive = false;
        mLimit = Math.max(1, limit);
        mLoad = load;
        mSentSinceReport = 0;
        mMeanMicros = meanMicros;
    }

    /**
     * Counts a call sent to the node.
     *
     * @param nowMillis monotonic time
     */
    public void onSent(long nowMillis) {
        mSentSinceReport++;
        mLastSentMillis = nowMillis;
    }

    /**
     * Stores the load that an answer reports, and updates the cost estimate of its route.
     *
     * @param route the route's name
     * @param answer an answer of this node
     */
    public void onAnswer(String route, CallAnswer answer) {
        mRouteCosts.onAnswer(route, answer);
        if (answer.getLimit() > 0) {
            updateLoad(answer.getLimit(), answer.getInFlight(), answer.getMeanServiceMicros());
            mConsecutiveFailures = 0;
        }
    }

    /**
     * Records a failure to reach the node, which makes it suspect.
     *
     * @param nowMillis monotonic time
     */
    public void onUnreachable(long nowMillis) {
        long suspicionMillis = SUSPECT_BASE_MILLIS << Math.min(mConsecutiveFailures, 8);
        mConsecutiveFailures++;
        mSuspectUntilMillis = nowMillis + Math.min(SUSPECT_MAX_MILLIS, suspicionMillis);
    }

    void onPeerUnresponsive() {
        mUnresponsive = true;
    }

    /**
     * Returns whether the connection to the node is unresponsive.
     *
     * @return true until the next status, or the next answer with a load report, arrives
     */
    public boolean isUnresponsive() {
        return mUnresponsive;
    }

    /**
     * Returns whether calls to the node failed recently, so that others are preferred.
     *
     * @param nowMillis monotonic time
     */
    public boolean isSuspect(long nowMillis) {
        return nowMillis < mSuspectUntilMillis;
    }

    /**
     * Returns the time since the latest status was received.
     *
     * @param nowMillis monotonic time
     * @return milliseconds
     */
    public long millisSinceStatus(long nowMillis) {
        return nowMillis - mStatusReceivedMillis;
    }

    /**
     * Returns the time since this node last sent a call to the member.
     *
     * @param nowMillis monotonic time
     * @return milliseconds; very large if no call was sent yet
     */
    public long idleMillis(long nowMillis) {
        return nowMillis - mLastSentMillis;
    }

    /**
     * Returns whether the backend server accepts calls of a service.
     *
     * @param service the service's name
     * @return true if the backend server is ready, runs the service, and its node is not leaving
     */
    public boolean serves(String service) {
        return !mStatus.getLeaving()
                && mStatus.getBackend().getPhase() == BackendPhase.BACKEND_PHASE_READY
                && mStatus.getBackend().getService().equals(service);
    }

    /**
     * Returns the expected time of a call sent now: the wait for a free slot and the service time
     * of its route.
     *
     * @param route the route's name
     * @return milliseconds
     */
    public double expectedResponseMillis(String route) {
        double meanMillis =
                mMeanMicros > 0 ? mMeanMicros / MICROS_PER_MILLI : DEFAULT_SERVICE_MILLIS;
        double queuedAhead = Math.max(0, load() + 1 - mLimit);
        return meanMillis * (queuedAhead / mLimit + mRouteCosts.multiple(route).orElse(1.0));
    }

    /**
     * Returns the estimated number of calls in flight or queued at the node.
     *
     * @return the number in the latest report plus the calls sent from here since
     */
    public int load() {
        return mLoad + mSentSinceReport;
    }

    /** Returns the latest status. */
    public NodeStatus status() {
        return mStatus;
    }
}
