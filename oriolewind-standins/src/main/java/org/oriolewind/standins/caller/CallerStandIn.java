package org.oriolewind.standins.caller;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.oriolewind.node.call.CallHeaders;
import org.oriolewind.standins.backend.BackendHandler;

/**
 * Sends calls at a constant rate, independently of their responses (open loop), to several nodes in
 * round-robin order. Thread-safe.
 */
public final class CallerStandIn {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long CALL_TIMEOUT_MILLIS = 5000;

    private final HttpClient mClient;
    private final String mRequestIdPrefix;
    private final List<String> mUrls;
    private final CallKind mKind;
    private final CallCounts mCounts;
    private final AtomicLong mNextCallNumber = new AtomicLong();
    private final AtomicInteger mOpenCalls = new AtomicInteger();

    /**
     * Creates a caller.
     *
     * @param client a started client, which several callers can share
     * @param requestIdPrefix prefix of the request ids; unique among the callers of a mesh, because
     *     runs are counted by request id
     * @param urls base URLs of nodes, or of backend servers that are called directly
     * @param kind request line and rate of the calls
     * @param counts records the outcomes of the calls
     */
    public CallerStandIn(
            HttpClient client,
            String requestIdPrefix,
            List<String> urls,
            CallKind kind,
            CallCounts counts) {
        mClient = client;
        mRequestIdPrefix = requestIdPrefix;
        mUrls = List.copyOf(urls);
        mKind = kind;
        mCounts = counts;
    }

    /**
     * Sends calls on the current thread until told to stop, then waits up to 10 s for open calls.
     * Calls that are behind schedule are sent at once.
     *
     * @param keepRunning checked before each call and each wait; false stops the caller
     */
    public void run(BooleanSupplier keepRunning) {
        long intervalNanos = (long) (NANOS_PER_SECOND / mKind.perSecond());
        long nextNanos = System.nanoTime();
        while (keepRunning.getAsBoolean()) {
            long waitNanos = nextNanos - System.nanoTime();
            if (waitNanos > 0) {
                LockSupport.parkNanos(waitNanos);
                continue;
            }
            nextNanos += intervalNanos;
            sendCall();
        }
        long drainEndNanos = System.nanoTime() + CALL_TIMEOUT_MILLIS * 2_000_000L;
        while (mOpenCalls.get() > 0 && System.nanoTime() < drainEndNanos) {
            LockSupport.parkNanos(1_000_000L);
        }
    }

    private void sendCall() {
        long callNumber = mNextCallNumber.getAndIncrement();
        String requestId = mRequestIdPrefix + "-" + callNumber;
        Request request =
                mClient.newRequest(mUrls.get((int) (callNumber % mUrls.size())) + mKind.path());
        request.method(mKind.method());
        request.headers(
                h -> {
                    h.put(BackendHandler.REQUEST_ID, requestId);
                    h.put(CallHeaders.CALL, requestId);
                    h.put(CallHeaders.TIMEOUT_MILLIS, Long.toString(CALL_TIMEOUT_MILLIS));
                });
        if (!mKind.method().equals("GET")) {
            request.body(new BytesRequestContent(requestId.getBytes(StandardCharsets.UTF_8)));
        }
        request.timeout(2 * CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        mCounts.onMade();
        mOpenCalls.incrementAndGet();
        long startNanos = System.nanoTime();
        request.send(new Completion(requestId, startNanos));
    }

    /** Records the outcome of one call, on a thread of the client. */
    private final class Completion extends BufferingResponseListener {
        private final String mRequestId;
        private final long mStartNanos;

        Completion(String requestId, long startNanos) {
            mRequestId = requestId;
            mStartNanos = startNanos;
        }

        @Override
        public void onComplete(Result result) {
            long latencyMicros = (System.nanoTime() - mStartNanos) / 1000;
            mOpenCalls.decrementAndGet();
            if (result.isFailed()) {
                mCounts.onLost();
                return;
            }
            int status = result.getResponse().getStatus();
            String outcome = result.getResponse().getHeaders().get(CallHeaders.OUTCOME);
            if ("not-run".equals(outcome)) {
                mCounts.onNotRun(mRequestId);
            } else if ("unknown".equals(outcome)) {
                mCounts.onUnknown();
            } else {
                mCounts.onAnswered(mRequestId, status, latencyMicros);
                checkBody(status);
            }
        }

        private void checkBody(int status) {
            if (status == 200 && !("done " + mRequestId + "\n").equals(getContentAsString())) {
                mCounts.onWrongAnswer();
            }
        }
    }
}
