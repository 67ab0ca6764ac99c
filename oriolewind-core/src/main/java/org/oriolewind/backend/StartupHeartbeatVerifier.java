package org.oriolewind.backend;

import java.util.Optional;
import org.oriolewind.time.NodeClock;

/**
 * Prevents a node that has just started from trusting a delayed heartbeat, since an earlier process
 * may already have acknowledged the deregistration of the backend server. An incarnation is used
 * once a health check confirms it, or once a heartbeat arrives so late that it cannot have been
 * sent before this node started. Not thread-safe.
 */
public final class StartupHeartbeatVerifier {
    /** Longest delay of a heartbeat; the platform delays them by seconds. */
    private static final long MAX_HEARTBEAT_DELAY_MILLIS = 10_000;

    /** Delay before a health check that had no answer is retried. */
    private static final long CHECK_RETRY_MILLIS = 300;

    private final NodeClock mClock;
    private final HealthChecker mHealthChecker;
    private final Runnable mOnConfirmed;
    private final long mTrustedFromMillis;
    private Optional<BackendHeartbeat> mPassed = Optional.empty();
    private Optional<BackendHeartbeat> mChecked = Optional.empty();
    private long mNextCheckMillis;

    /**
     * Creates a verifier that trusts no incarnation yet. The node starts now.
     *
     * @param clock provides monotonic time
     * @param healthChecker sends health checks
     * @param onConfirmed called when an incarnation that was held back may be used
     */
    public StartupHeartbeatVerifier(
            NodeClock clock, HealthChecker healthChecker, Runnable onConfirmed) {
        mClock = clock;
        mHealthChecker = healthChecker;
        mOnConfirmed = onConfirmed;
        mTrustedFromMillis = clock.monotonicMillis() + MAX_HEARTBEAT_DELAY_MILLIS;
    }

    /**
     * Returns whether an incarnation of the backend server may be used.
     *
     * @param heartbeat a heartbeat of the incarnation
     * @return true if it needs no check or has passed it
     */
    public boolean isPassed(BackendHeartbeat heartbeat) {
        return mPassed.filter(passed -> passed.isSameIncarnation(heartbeat)).isPresent();
    }

    /**
     * Processes the latest heartbeat and starts a health check if one is due. Must be called
     * several times a second.
     *
     * @param heartbeat the latest heartbeat, new or not
     * @param receivedMillis its arrival in monotonic milliseconds
     * @param healthPath path of the health check; empty if the service has none, in which case the
     *     incarnation is trusted without a check
     */
    public void update(
            BackendHeartbeat heartbeat, long receivedMillis, Optional<String> healthPath) {
        if (isPassed(heartbeat)) {
            return;
        }
        if (healthPath.isEmpty() || receivedMillis > mTrustedFromMillis) {
            pass(heartbeat);
            return;
        }
        // Each heartbeat is checked once, unless the check has no answer.
        boolean checked = mChecked.filter(heartbeat::equals).isPresent();
        if (!checked && mClock.monotonicMillis() >= mNextCheckMillis) {
            mChecked = Optional.of(heartbeat);
            mHealthChecker.check(healthPath.get(), health -> onCheckResult(heartbeat, health));
        }
    }

    private void pass(BackendHeartbeat heartbeat) {
        mPassed = Optional.of(heartbeat);
        if (mChecked.filter(checked -> checked.isSameIncarnation(heartbeat)).isPresent()) {
            mOnConfirmed.run();
        }
    }

    private void onCheckResult(BackendHeartbeat heartbeat, Optional<HealthCheckResult> health) {
        if (health.isEmpty()) {
            mChecked = mChecked.filter(checked -> !checked.equals(heartbeat));
            mNextCheckMillis = mClock.monotonicMillis() + CHECK_RETRY_MILLIS;
            return;
        }
        boolean confirmed =
                health.get().serving() && health.get().instanceId().equals(heartbeat.instanceId());
        if (confirmed && !isPassed(heartbeat)) {
            pass(heartbeat);
        }
    }
}
