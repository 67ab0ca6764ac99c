package org.oriolewind.node;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.oriolewind.request.PassiveHealth;
import org.oriolewind.time.NodeClock;

/**
 * Decides from health checks once a second whether the backend server is available. It is
 * unavailable while it is draining, as shown by a status of 503 or by a call that it refused as
 * draining in the last second. It is also unavailable after 3 failed health checks in a row, unless
 * it has responded to a call in the last 2 s and no later call found it unreachable: an answered
 * call outweighs failed health checks. Any other status means available. Thread-safe.
 */
final class BackendMonitor {
    private static final long CHECK_INTERVAL_MILLIS = 1000;
    private static final long CHECK_TIMEOUT_MILLIS = 400;
    private static final long RECENT_RESPONSE_MILLIS = 2000;
    private static final int FAILURES_UNTIL_UNAVAILABLE = 3;
    private static final int DRAINING_STATUS = 503;

    private final HttpClient mClient;
    private final String mUrl;
    private final PassiveHealth mPassiveHealth;
    private final NodeClock mClock;
    private final Consumer<Boolean> mOnChange;
    private Optional<Boolean> mAvailable = Optional.empty();
    private int mConsecutiveFailures;
    private long mNextCheckMillis;

    BackendMonitor(
            HttpClient client,
            String url,
            PassiveHealth passiveHealth,
            NodeClock clock,
            Consumer<Boolean> onChange) {
        mClient = client;
        mUrl = url;
        mPassiveHealth = passiveHealth;
        mClock = clock;
        mOnChange = onChange;
    }

    /**
     * Starts a health check when one is due; does not wait for it. Called several times a second.
     */
    synchronized void tick() {
        long now = mClock.monotonicMillis();
        if (now < mNextCheckMillis) {
            return;
        }
        mNextCheckMillis = now + CHECK_INTERVAL_MILLIS;
        Request request = mClient.newRequest(mUrl);
        request.timeout(CHECK_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        request.send(
                result -> {
                    if (result.isFailed()) {
                        onFailure();
                    } else {
                        onStatus(result.getResponse().getStatus());
                    }
                });
    }

    private synchronized void onStatus(int status) {
        mConsecutiveFailures = 0;
        boolean draining =
                status == DRAINING_STATUS
                        || mPassiveHealth.hasReportedDrainingWithin(CHECK_INTERVAL_MILLIS);
        change(!draining);
    }

    private synchronized void onFailure() {
        mConsecutiveFailures++;
        if (mConsecutiveFailures >= FAILURES_UNTIL_UNAVAILABLE
                && !mPassiveHealth.hasAnsweredWithin(RECENT_RESPONSE_MILLIS)) {
            change(false);
        }
    }

    private void change(boolean available) {
        if (!mAvailable.equals(Optional.of(available))) {
            mAvailable = Optional.of(available);
            mOnChange.accept(available);
        }
    }
}
