package org.oriolewind.backend;

import java.util.Optional;
import org.oriolewind.time.NodeClock;

/**
 * Keeps a node that has just started from trusting a heartbeat that was held up: its predecessor
 * may have acknowledged that the backend server leaves. The first backend server that the node
 * hears of is used once a health check confirms it, or after heartbeats that can't all be late.
 * Those that start later are followed from their beginning and need no check. Not safe for use by
 * several threads.
 */
public final class FirstHeartbeatVerifier {
    /** Heartbeats that make up for a health check without success. */
    private static final int TRUSTED_HEARTBEATS = 3;

    /** Pause between checks of the same heartbeat that had no answer. */
    private static final long PAUSE_MILLIS = 300;

    private final NodeClock mClock;
    private final long mHeartbeatMillis;
    private final HealthCheckPort mPort;
    private final Runnable mOnPassed;
    private Optional<BackendHeartbeat> mFirst = Optional.empty();
    private long mFirstHeardMillis;
    private long mLatestSequence;
    private int mHeartbeats;
    private boolean mChecked;
    private boolean mPassed;
    private long mNextCheckMillis;

    /**
     * Creates a check that nothing has passed.
     *
     * @param clock the clock
     * @param heartbeatMillis time between heartbeats
     * @param port makes health checks
     * @param onPassed told when the backend server may be used
     */
    public FirstHeartbeatVerifier(
            NodeClock clock, long heartbeatMillis, HealthCheckPort port, Runnable onPassed) {
        mClock = clock;
        mHeartbeatMillis = heartbeatMillis;
        mPort = port;
        mOnPassed = onPassed;
    }

    /**
     * Returns whether a backend server may be used.
     *
     * @param report its latest heartbeat
     * @return true if it needs no check or has passed it
     */
    public boolean isPassed(BackendHeartbeat report) {
        return mPassed || mFirst.filter(first -> !first.isSameIncarnation(report)).isPresent();
    }

    /**
     * Takes the latest heartbeat, and begins a check if one is due. To be called several times a
     * second.
     *
     * @param report the heartbeat
     * @param healthPath path of the health check, empty if the service has none
     */
    public void update(BackendHeartbeat report, Optional<String> healthPath) {
        long now = mClock.monotonicMillis();
        if (mFirst.isEmpty()) {
            mFirst = Optional.of(report);
            mFirstHeardMillis = now;
            mLatestSequence = Long.MIN_VALUE;
        }
        if (isPassed(report)) {
            return;
        }
        if (report.sequence() > mLatestSequence) {
            mLatestSequence = report.sequence();
            mHeartbeats++;
            mChecked = false;
        }
        boolean followed =
                mHeartbeats >= TRUSTED_HEARTBEATS && now - mFirstHeardMillis > mHeartbeatMillis;
        if (healthPath.isEmpty() || followed) {
            mPassed = true;
            mOnPassed.run();
        } else if (!mChecked && now >= mNextCheckMillis) {
            mChecked = true;
            mPort.check(healthPath.get(), health -> onHealth(report, health));
        }
    }

    private void onHealth(BackendHeartbeat report, Optional<HealthCheckResult> health) {
        if (health.isEmpty()) {
            mChecked = false;
            mNextCheckMillis = mClock.monotonicMillis() + PAUSE_MILLIS;
            return;
        }
        boolean confirmed =
                health.get().serving() && health.get().instanceId().equals(report.instanceId());
        if (confirmed && !mPassed) {
            mPassed = true;
            mOnPassed.run();
        }
    }
}
