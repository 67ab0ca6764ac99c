package org.oriolewind.standins.caller;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;

/**
 * Outcomes and latencies of a caller's calls. Each completed call is counted as answered, not run,
 * unknown or lost. Thread-safe.
 */
public final class CallCounts {
    private static final long MAX_LATENCY_MICROS = 60_000_000L;

    private final AtomicLong mMade = new AtomicLong();
    private final AtomicLong mAnswered = new AtomicLong();
    private final AtomicLong mServerErrors = new AtomicLong();
    private final AtomicLong mNotRun = new AtomicLong();
    private final AtomicLong mUnknown = new AtomicLong();
    private final AtomicLong mLost = new AtomicLong();
    private final AtomicLong mWrongAnswers = new AtomicLong();
    private final ConcurrentHistogram mLatencyMicros =
            new ConcurrentHistogram(MAX_LATENCY_MICROS, 3);
    private final Queue<String> mNotRunIds = new ConcurrentLinkedQueue<>();
    private final Queue<String> mAnsweredIds = new ConcurrentLinkedQueue<>();

    void onMade() {
        mMade.incrementAndGet();
    }

    void onAnswered(String id, int status, long latencyMicros) {
        mAnswered.incrementAndGet();
        mAnsweredIds.add(id);
        if (status >= 500) {
            mServerErrors.incrementAndGet();
        }
        mLatencyMicros.recordValue(Math.min(MAX_LATENCY_MICROS, latencyMicros));
    }

    void onNotRun(String id) {
        mNotRun.incrementAndGet();
        mNotRunIds.add(id);
    }

    void onUnknown() {
        mUnknown.incrementAndGet();
    }

    void onLost() {
        mLost.incrementAndGet();
    }

    void onWrongAnswer() {
        mWrongAnswers.incrementAndGet();
    }

    /** Returns the number of calls sent, including those still open. */
    public long made() {
        return mMade.get();
    }

    /**
     * Returns the number of calls with a response whose outcome is neither not run nor unknown,
     * including responses with an error status.
     */
    public long answered() {
        return mAnswered.get();
    }

    /** Returns the number of answered calls with a status of 500 or more. */
    public long serverErrors() {
        return mServerErrors.get();
    }

    /** Returns the number of calls whose response says that they were not run. */
    public long notRun() {
        return mNotRun.get();
    }

    /** Returns the number of calls whose response says that the outcome is unknown. */
    public long unknown() {
        return mUnknown.get();
    }

    /**
     * Returns the number of calls without a response, because the connection failed or the caller's
     * timeout passed.
     */
    public long lost() {
        return mLost.get();
    }

    /**
     * Returns the number of responses with status 200 whose body belongs to another call or is
     * incomplete. They are counted as answered too.
     */
    public long wrongAnswers() {
        return mWrongAnswers.get();
    }

    /**
     * Returns the latencies of answered calls in microseconds, as a live view. Values over 60 s are
     * recorded as 60 s.
     */
    public ConcurrentHistogram latencyMicros() {
        return mLatencyMicros;
    }

    /** Returns the request ids of calls that were not run, as a live view. */
    public Queue<String> notRunIds() {
        return mNotRunIds;
    }

    /** Returns the request ids of answered calls, as a live view. */
    public Queue<String> answeredIds() {
        return mAnsweredIds;
    }
}
