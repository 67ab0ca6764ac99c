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
import org.oriolewind.standins.HttpReplies;

/**
 * One backend server: slots, a queue, cold start, drain, shedding, deadlines, and faults to order.
 * It counts honestly how often each request id ran. Control paths: {@code GET /control/counts},
 * {@code GET /control/total}, {@code POST /control/behaviour}, {@code POST /control/drain}, {@code
 * POST /control/restart}. Safe for use by several threads.
 */
public final class BackendHandler extends Handler.Abstract {
    /** Header that names a request; each id is counted when it runs. */
    public static final String REQUEST_ID = "X-Request-Id";

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final ScheduledExecutorService mTimer;
    private final Map<String, AtomicInteger> mRuns = new ConcurrentHashMap<>();
    private final AtomicLong mTotalRuns = new AtomicLong();
    private final AtomicLong mShed = new AtomicLong();
    private final AtomicLong mFailed = new AtomicLong();
    private final ArrayDeque<Work> mQueue = new ArrayDeque<>();
    private volatile Behaviour mBehaviour;
    private volatile boolean mDraining;
    private volatile long mStartedNanos = System.nanoTime();
    private int mRunning;

    /**
     * Creates a backend server.
     *
     * @param behaviour how it behaves
     * @param timer ends calls when their time has passed
     */
    public BackendHandler(Behaviour behaviour, ScheduledExecutorService timer) {
        mBehaviour = behaviour;
        mTimer = timer;
    }

    /** A call that runs or waits. */
    private record Work(Request request, Response response, Callback callback, long deadline) {}

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
        String path = Request.getPathInContext(request);
        if (path.equals("/health")) {
            boolean down = mDraining && !mBehaviour.lyingHealth();
            HttpReplies.empty(response, callback, down ? 503 : 200);
            return true;
        }
        if (path.startsWith("/control/")) {
            control(request, response, callback, path);
            return true;
        }
        Content.Source.consumeAll(request);
        begin(new Work(request, response, callback, deadline(request)));
        return true;
    }

    private static long deadline(Request request) {
        String millis = request.getHeaders().get(CallHeaders.TIMEOUT_MILLIS);
        return millis == null
                ? Long.MAX_VALUE
                : System.nanoTime() + Long.parseLong(millis) * NANOS_PER_MILLI;
    }

    private void begin(Work work) {
        String refusal = null;
        boolean run = false;
        synchronized (this) {
            if (mDraining) {
                refusal = CallHeaders.DRAINING;
            } else if (mRunning < mBehaviour.slots()) {
                mRunning++;
                run = true;
            } else if (mQueue.size() < mBehaviour.queue()) {
                mQueue.add(work);
            } else {
                refusal = "shed";
            }
        }
        if (refusal != null) {
            mShed.incrementAndGet();
            work.response().getHeaders().put(CallHeaders.NOT_RUN, refusal);
            HttpReplies.empty(work.response(), work.callback(), 503);
        } else if (run) {
            run(work);
        }
    }

    private void run(Work work) {
        mTotalRuns.incrementAndGet();
        String id = work.request().getHeaders().get(REQUEST_ID);
        if (id != null) {
            mRuns.computeIfAbsent(id, k -> new AtomicInteger()).incrementAndGet();
        }
        boolean bad = isBad();
        double millis = serviceMillis(bad);
        mTimer.schedule(
                () -> end(work, bad), (long) (millis * NANOS_PER_MILLI), TimeUnit.NANOSECONDS);
    }

    private synchronized boolean isBad() {
        return ageMillis() >= mBehaviour.badAfterMillis() && mRunning > mBehaviour.badOverLoad();
    }

    private long ageMillis() {
        return (System.nanoTime() - mStartedNanos) / NANOS_PER_MILLI;
    }

    private double serviceMillis(boolean bad) {
        double millis = mBehaviour.serviceMillis() * (0.8 + 0.4 * randomShare());
        if (ageMillis() < mBehaviour.coldMillis()) {
            millis *= mBehaviour.coldFactor();
        }
        return bad ? millis * mBehaviour.slowFactor() : millis;
    }

    private static double randomShare() {
        return ThreadLocalRandom.current().nextDouble();
    }

    private void end(Work work, boolean bad) {
        String path = Request.getPathInContext(work.request());
        boolean fails =
                bad
                        && !mBehaviour.failPath().isEmpty()
                        && path.startsWith(mBehaviour.failPath())
                        && randomShare() < mBehaviour.failShare();
        if (fails) {
            mFailed.incrementAndGet();
            HttpReplies.empty(work.response(), work.callback(), 500);
        } else {
            String id = work.request().getHeaders().get(REQUEST_ID);
            byte[] body = ("done " + id + "\n").getBytes(StandardCharsets.UTF_8);
            HttpReplies.bytes(work.response(), work.callback(), 200, body);
        }
        nextWork();
    }

    private void nextWork() {
        while (true) {
            Work next;
            synchronized (this) {
                next = mQueue.poll();
                if (next == null) {
                    mRunning--;
                    return;
                }
            }
            if (System.nanoTime() < next.deadline()) {
                run(next);
                return;
            }
            next.response().getHeaders().put(CallHeaders.NOT_RUN, "expired");
            HttpReplies.empty(next.response(), next.callback(), 503);
        }
    }

    private void control(Request request, Response response, Callback callback, String path)
            throws Exception {
        switch (path) {
            case "/control/behaviour" -> {
                String json = Content.Source.asString(request);
                mBehaviour = JsonFormat.mapper().readValue(json, Behaviour.class);
            }
            case "/control/drain" -> mDraining = true;
            case "/control/restart" -> {
                mDraining = false;
                mStartedNanos = System.nanoTime();
            }
            case "/control/total" -> {
                ObjectNode total = JsonFormat.mapper().createObjectNode();
                HttpReplies.json(response, callback, total.put("runs", mTotalRuns.get()));
                return;
            }
            default -> {
                HttpReplies.json(response, callback, counts());
                return;
            }
        }
        HttpReplies.empty(response, callback, 204);
    }

    private ObjectNode counts() {
        ObjectNode counts = JsonFormat.mapper().createObjectNode();
        counts.put("shed", mShed.get());
        counts.put("failed", mFailed.get());
        ObjectNode runs = counts.putObject("runs");
        mRuns.forEach((id, count) -> runs.put(id, count.get()));
        return counts;
    }

    /**
     * Returns how often each request id ran.
     *
     * @return a live view
     */
    public Map<String, AtomicInteger> runs() {
        return mRuns;
    }
}
