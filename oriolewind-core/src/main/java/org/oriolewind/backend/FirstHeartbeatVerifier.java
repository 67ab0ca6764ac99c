package org.oriolewind.backend;

import java.util.Optional;
import org.oriolewind.time.NodeClock;

/**
 * Prevents a node that has just started from trusting a delayed heartbeat, since its earlier
 * incarnation may already have acknowledged the deregistration of the backend server. The first
 * incarnation of the backend server from which the node receives a heartbeat is used only after a
 * health check confirms it, or after a series of heartbeats that cannot all be delayed ones.
 * Incarnations that start later need no check. Not thread-safe.
 */
public final class FirstHeartbeatVerifier {
    /** Number of heartbeats that replace a successful health check. */
    private static final int TRUSTED_HEARTBEATS = 3;

    /** Delay before a health check that had no answer is retried. */
    private static final long CHECK_RETRY_MILLIS = 300;

    private final NodeClock mClock;
    private final long mHeartbeatMillis;
    private final HealthChecker mHealthChecker;
    private final Runnable mOnPassed;
    private Optional<BackendHeartbeat> mFirst = Optional.empty();
    private long mFirstHeartbeatMillis;
    private long mLatestSequence;
    private int mHeartbeatCount;
    private boolean mCheckStarted;
    private boolean mPassed;
    private long mNextCheckMillis;

    /**
     * Creates a verifier that trusts no incarnation yet.
     *
     * @param clock provides monotonic time
     * @param heartbeatMillis interval between heartbeats
     * @param healthChecker sends health checks
     * @param onPassed called when the first incarnation may be used
     */
    public FirstHeartbeatVerifier(
            NodeClock clock, long heartbeatMillis, HealthChecker healthChecker, Runnable onPassed) {
        mClock = clock;
        mHeartbeatMillis = heartbeatMillis;
        mHealthChecker = healthChecker;
        mOnPassed = onPassed;
    }

    /**
     * Returns whether an incarnation of the backend server may be used.
     *
     * @param heartbeat its latest heartbeat
     * @return true if it needs no check or has passed it
     */
    public boolean isPassed(BackendHeartbeat heartbeat) {
        return mPassed || mFirst.filter(first -> !first.isSameIncarnation(heartbeat)).isPresent();
    }

    /**
     * Processes the latest heartbeat and starts a health check if one is due. Must be called
     * several times a second.
     *
     * @param heartbeat the latest heartbeat, new or not
     * @param healthPath path of the health check; empty if the service has none, in which case the
     *     incarnation is trusted without a check
     */
    public void update(BackendHeartbeat heartbeat, Optional<String> healthPath) {
        long now = mClock.monotonicMillis();
        if (mFirst.isEmpty()) {
            mFirst = Optional.of(heartbeat);
            mFirstHeartbeatMillis = now;
            mLatestSequence = Long.MIN_VALUE;
        }
        if (isPassed(heartbeat)) {
            return;
        }
        if (heartbeat.sequence() > mLatestSequence) {
            mLatestSequence = heartbeat.sequence();
            mHeartbeatCount++;
            mCheckStarted = false;
        }
        boolean seriesIsCurrent =
                mHeartbeatCount >= TRUSTED_HEARTBEATS
                        && now - mFirstHeartbeatMillis > mHeartbeatMillis;
        if (healthPath.isEmpty() || seriesIsCurrent) {
            mPassed = true;
            mOnPassed.run();
        } else if (!mCheckStarted && now >= mNextCheckMillis) {
            mCheckStarted = true;
            mHealthChecker.check(healthPath.get(), health -> onCheckResult(heartbeat, health));
        }
    }

    private void onCheckResult(BackendHeartbeat heartbeat, Optional<HealthCheckResult> health) {
        if (health.isEmpty()) {
            mCheckStarted = false;
            mNextCheckMillis = mClock.monotonicMillis() + CHECK_RETRY_MILLIS;
            return;
        }
        boolean confirmed =
                health.get().serving() && health.get().instanceId().equals(heartbeat.instanceId());
        if (confirmed && !mPassed) {
            mPassed = true;
            mOnPassed.run();
        }
    }
}
