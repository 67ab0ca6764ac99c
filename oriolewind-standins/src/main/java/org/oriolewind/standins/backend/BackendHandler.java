package org.oriolewind.standins.backend;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.oriolewind.config.JsonFormat;
import org.oriolewind.node.call.CallHeaders;
import org.oriolewind.standins.HttpResponses;

/**
 * Simulates one backend server with slots, a queue, cold start, draining, load shedding, deadlines
 * and configurable faults. Counts how often each request id ran, independently of what the nodes
 * report, so that tests can detect calls that ran twice or that were reported wrongly as not run.
 *
 * <p>Control paths: {@code GET /control/counts}, {@code GET /control/total}, {@code POST
 * /control/behaviour}, {@code POST /control/drain}, {@code POST /control/restart}. A restart ends
 * draining and begins a new cold start; counts and queued calls stay. All paths outside {@code
 * /control/} other than {@code /health} are calls. Thread-safe; the queue and the number of running
 * calls are guarded by the monitor of this object.
 */
public final class BackendHandler extends Handler.Abstract {
    /** Header that carries the request id; runs are counted by this id. */
    public static final String REQUEST_ID = "X-Request-Id";

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final ScheduledExecutorService mTimer;
    private final Map<String, AtomicInteger> mRunsByRequestId = new ConcurrentHashMap<>();
    private final AtomicLong mTotalRuns = new AtomicLong();
    private final AtomicLong mShedCalls = new AtomicLong();
    private final AtomicLong mFailedCalls = new AtomicLong();
    private final ArrayDeque<PendingCall> mQueue = new ArrayDeque<>();
    private volatile BackendBehaviour mBehaviour;
    private volatile boolean mDraining;
    private volatile long mStartedNanos = System.nanoTime();
    private int mRunningCalls;

    /**
     * Creates a backend server, whose cold start begins now.
     *
     * @param behaviour the initial behaviour, until {@code /control/behaviour} replaces it
     * @param timer completes calls after their service time; not shut down by this object
     */
    public BackendHandler(BackendBehaviour behaviour, ScheduledExecutorService timer) {
        mBehaviour = behaviour;
        mTimer = timer;
    }

    /** A call that is running or queued. The deadline is a {@link System#nanoTime} value. */
    private record PendingCall(
            Request request, Response response, Callback callback, long deadlineNanos) {}

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
        String path = Request.getPathInContext(request);
        if (path.equals("/health")) {
            boolean unhealthy = mDraining && !mBehaviour.lyingHealth();
            HttpResponses.writeEmpty(response, callback, unhealthy ? 503 : 200);
            return true;
        }
        if (path.startsWith("/control/")) {
            handleControl(request, response, callback, path);
            return true;
        }
        Content.Source.consumeAll(request);
        admit(new PendingCall(request, response, callback, deadlineNanos(request)));
        return true;
    }

    private static long deadlineNanos(Request request) {
        String millis = request.getHeaders().get(CallHeaders.TIMEOUT_MILLIS);
        return millis == null
                ? Long.MAX_VALUE
                : System.nanoTime() + Long.parseLong(millis) * NANOS_PER_MILLI;
    }

    private void admit(PendingCall call) {
        String notRunReason = null;
        boolean startNow = false;
        synchronized (this) {
            if (mDraining) {
                notRunReason = CallHeaders.DRAINING;
            } else if (mRunningCalls < mBehaviour.slots()) {
                mRunningCalls++;
                startNow = true;
            } else if (mQueue.size() < mBehaviour.queue()) {
                mQueue.add(call);
            } else {
                notRunReason = "shed";
            }
        }
        if (notRunReason != null) {
            mShedCalls.incrementAndGet();
            call.response().getHeaders().put(CallHeaders.NOT_RUN, notRunReason);
            HttpResponses.writeEmpty(call.response(), call.callback(), 503);
        } else if (startNow) {
            run(call);
        }
    }

    private void run(PendingCall call) {
        mTotalRuns.incrementAndGet();
        String requestId = call.request().getHeaders().get(REQUEST_ID);
        if (requestId != null) {
            mRunsByRequestId.computeIfAbsent(requestId, k -> new AtomicInteger()).incrementAndGet();
        }
        boolean faulty = isFaulty();
        double millis = serviceMillis(faulty);
        mTimer.schedule(
                () -> complete(call, faulty),
                (long) (millis * NANOS_PER_MILLI),
                TimeUnit.NANOSECONDS);
    }

    private synchronized boolean isFaulty() {
        return ageMillis() >= mBehaviour.badAfterMillis()
                && mRunningCalls > mBehaviour.badOverLoad();
    }

    private long ageMillis() {
        return (System.nanoTime() - mStartedNanos) / NANOS_PER_MILLI;
    }

    private double serviceMillis(boolean faulty) {
        double millis = mBehaviour.serviceMillis() * (0.8 + 0.4 * randomFraction());
        if (ageMillis() < mBehaviour.coldMillis()) {
            millis *= mBehaviour.coldFactor();
        }
        return faulty ? millis * mBehaviour.slowFactor() : millis;
    }

    private static double randomFraction() {
        return ThreadLocalRandom.current().nextDouble();
    }

    private void complete(PendingCall call, boolean faulty) {
        String path = Request.getPathInContext(call.request());
        boolean fails =
                faulty
                        && !mBehaviour.failPath().isEmpty()
                        && path.startsWith(mBehaviour.failPath())
                        && randomFraction() < mBehaviour.failShare();
        if (fails) {
            mFailedCalls.incrementAndGet();
            HttpResponses.writeEmpty(call.response(), call.callback(), 500);
        } else {
            String requestId = call.request().getHeaders().get(REQUEST_ID);
            byte[] body = ("done " + requestId + "\n").getBytes(StandardCharsets.UTF_8);
            HttpResponses.writeBytes(call.response(), call.callback(), 200, body);
        }
        startNextQueued();
    }

    private void startNextQueued() {
        while (true) {
            PendingCall next;
            synchronized (this) {
                next = mQueue.poll();
                if (next == null) {
                    mRunningCalls--;
                    return;
                }
            }
            if (System.nanoTime() < next.deadlineNanos()) {
                run(next);
                return;
            }
            next.response().getHeaders().put(CallHeaders.NOT_RUN, "expired");
            HttpResponses.writeEmpty(next.response(), next.callback(), 503);
        }
    }

    private void handleControl(Request request, Response response, Callback callback, String path)
            throws Exception {
        switch (path) {
            case "/control/behaviour" -> {
                String json = Content.Source.asString(request);
                mBehaviour = JsonFormat.mapper().readValue(json, BackendBehaviour.class);
            }
            case "/control/drain" -> mDraining = true;
            case "/control/restart" -> {
                mDraining = false;
                mStartedNanos = System.nanoTime();
            }
            case "/control/total" -> {
                ObjectNode total = JsonFormat.mapper().createObjectNode();
                HttpResponses.writeJson(response, callback, total.put("runs", mTotalRuns.get()));
                return;
            }
            default -> {
                HttpResponses.writeJson(response, callback, countsJson());
                return;
            }
        }
        HttpResponses.writeEmpty(response, callback, 204);
    }

    private ObjectNode countsJson() {
        ObjectNode counts = JsonFormat.mapper().createObjectNode();
        counts.put("shed", mShedCalls.get());
        counts.put("failed", mFailedCalls.get());
        ObjectNode runs = counts.putObject("runs");
        mRunsByRequestId.forEach((requestId, count) -> runs.put(requestId, count.get()));
        return counts;
    }

    /** Returns the number of runs by request id, as a live view. Ids that never ran are absent. */
    public Map<String, AtomicInteger> runsByRequestId() {
        return mRunsByRequestId;
    }
}
