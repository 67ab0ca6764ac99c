package org.oriolewind.standins.caller;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;

/** What became of a caller's calls. Safe for use by several threads. */
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

    /**
     * Returns the calls made.
     *
     * @return the number
     */
    public long made() {
        return mMade.get();
    }

    /**
     * Returns the calls that a backend server answered, errors included.
     *
     * @return the number
     */
    public long answered() {
        return mAnswered.get();
    }

    /**
     * Returns the answers with a server error.
     *
     * @return the number
     */
    public long serverErrors() {
        return mServerErrors.get();
    }

    /**
     * Returns the calls refused as not run.
     *
     * @return the number
     */
    public long notRun() {
        return mNotRun.get();
    }

    /**
     * Returns the calls whose outcome the system calls unknown.
     *
     * @return the number
     */
    public long unknown() {
        return mUnknown.get();
    }

    /**
     * Returns the calls that ended without any answer of the system.
     *
     * @return the number
     */
    public long lost() {
        return mLost.get();
    }

    /**
     * Returns the answers that belong to another call or are not whole.
     *
     * @return the number
     */
    public long wrongAnswers() {
        return mWrongAnswers.get();
    }

    /**
     * Returns the latencies of answered calls.
     *
     * @return microseconds, a live view
     */
    public ConcurrentHistogram latencyMicros() {
        return mLatencyMicros;
    }

    /**
     * Returns the ids of calls refused as not run.
     *
     * @return a live view
     */
    public Queue<String> notRunIds() {
        return mNotRunIds;
    }

    /**
     * Returns the ids of answered calls.
     *
     * @return a live view
     */
    public Queue<String> answeredIds() {
        return mAnsweredIds;
    }
}
