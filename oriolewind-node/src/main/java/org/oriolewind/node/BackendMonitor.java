package org.oriolewind.node;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.oriolewind.request.PassiveHealth;
import org.oriolewind.time.NodeClock;

/**
 * Decides whether the backend server takes work. Its health endpoint is a hint: answers to calls go
 * before it when it says that the backend server is gone. Safe for use by several threads.
 */
final class BackendMonitor {
    private static final long CHECK_INTERVAL_MILLIS = 1000;
    private static final long CHECK_TIMEOUT_MILLIS = 400;
    private static final long PROOF_MILLIS = 2000;
    private static final int FAILURES_UNTIL_GONE = 3;
    private static final int DRAINING_STATUS = 503;

    private final HttpClient mClient;
    private final String mUrl;
    private final PassiveHealth mSignals;
    private final NodeClock mClock;
    private final Consumer<Boolean> mOnChange;
    private Optional<Boolean> mAvailable = Optional.empty();
    private int mFailures;
    private long mNextMillis;

    BackendMonitor(
            HttpClient client,
            String url,
            PassiveHealth signals,
            NodeClock clock,
            Consumer<Boolean> onChange) {
        mClient = client;
        mUrl = url;
        mSignals = signals;
        mClock = clock;
        mOnChange = onChange;
    }

    /** Starts a check when one is due. */
    synchronized void tick() {
        long now = mClock.monotonicMillis();
        if (now < mNextMillis) {
            return;
        }
        mNextMillis = now + CHECK_INTERVAL_MILLIS;
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
        mFailures = 0;
        boolean drains =
                status == DRAINING_STATUS || mSignals.drainingWithin(CHECK_INTERVAL_MILLIS);
        change(!drains);
    }

    private synchronized void onFailure() {
        mFailures++;
        if (mFailures >= FAILURES_UNTIL_GONE && !mSignals.answeredWithin(PROOF_MILLIS)) {
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
