package org.oriolewind.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.oriolewind.time.NodeClock;
import org.oriolewind.wire.NotRunReason;

/**
 * Admission gate in front of one backend server, with a concurrency limit that adapts to the
 * latency of its answers. All calls to the backend server pass through it, so that the number of
 * calls in flight is exact. {@link org.oriolewind.backend.BackendGate} is its counterpart for
 * backend servers that state their number of slots.
 *
 * <p>Invariants: calls in flight never exceed the limit that was in force when they were admitted;
 * each call that enters is admitted or refused exactly once; a refused call has not been forwarded
 * to the backend server. Thread-safe; callbacks run outside the lock.
 */
public final class Gate {
    /** Minimum time between two decreases, so that one burst of slow answers counts once. */
    private static final long MIN_DECREASE_INTERVAL_MILLIS = 100;

    /** Consecutive answers, none of them slow, after which the ramp-up is over. */
    private static final int STEADY_ANSWERS = 8;

    /**
     * An answer that takes longer than this multiple of the minimum latency prolongs the ramp-up.
     */
    private static final int RAMP_UP_SLOW_LATENCY_RATIO = 2;

    private final GateSettings mSettings;
    private final NodeClock mClock;
    private final ArrayDeque<Waiting> mQueue = new ArrayDeque<>();
    private final Map<String, WindowedMinLatency> mMinLatencies = new HashMap<>();
    private double mLimit;
    private int mInFlight;
    private boolean mRampingUp = true;
    private int mSteadyAnswers;
    private boolean mClosed;
    private long mLastDecreaseMillis = Long.MIN_VALUE / 2;

    private record Waiting(AdmissionCall call, long waitUntilMillis) {}

    /**
     * Load of a gate at one instant.
     *
     * @param limit the concurrency limit, rounded down
     * @param inFlight admitted calls that have not ended
     * @param queued calls that wait for admission
     * @param opening whether the limit is still ramping up after a start
     */
    public record Load(int limit, int inFlight, int queued, boolean opening) {}

    /**
     * Creates an open gate with the initial limit, as for a backend server that has just started.
     *
     * @param settings limits of the gate and its queue
     * @param clock measures waits and deadlines on its monotonic time
     */
    public Gate(GateSettings settings, NodeClock clock) {
        mSettings = settings;
        mClock = clock;
        mLimit = settings.initialLimit();
    }

    /**
     * Admits a call, queues it or refuses it. An admitted or refused call gets its callback before
     * this method returns.
     */
    public void enter(AdmissionCall call) {
        long now = mClock.monotonicMillis();
        NotRunReason refusal = null;
        synchronized (this) {
            if (mClosed) {
                refusal = NotRunReason.NOT_RUN_REASON_LEAVING;
            } else if (now >= call.deadlineMillis()) {
                refusal = NotRunReason.NOT_RUN_REASON_EXPIRED;
            } else if (mInFlight < (int) mLimit && mQueue.isEmpty()) {
                mInFlight++;
            } else if (mQueue.size() < mSettings.queueLength()) {
                long waitUntilMillis = now + mSettings.queueWait().toMillis();
                mQueue.addLast(new Waiting(call, Math.min(waitUntilMillis, call.deadlineMillis())));
                return;
            } else {
                refusal = NotRunReason.NOT_RUN_REASON_OVERLOADED;
            }
        }
        if (refusal == null) {
            call.onAdmitted();
        } else {
            call.onRefused(refusal);
        }
    }

    /**
     * Reports the end of an admitted call, adapts the limit and admits waiting calls.
     *
     * @param route name of the call's route; each route has its own minimum latency
     * @param inFlightAtStart calls in flight when the call was forwarded
     * @param latencyMicros service time in the backend server, in microseconds
     * @param overloaded whether the backend server shed the call, failed to answer or timed out
     */
    public void leave(String route, int inFlightAtStart, long latencyMicros, boolean overloaded) {
        long now = mClock.monotonicMillis();
        synchronized (this) {
            mInFlight--;
            adjust(route, inFlightAtStart, latencyMicros, overloaded, now);
        }
        admitWaiting(now);
    }

    /**
     * Reports the end of an admitted call whose latency says nothing about the backend server. The
     * limit is not adapted.
     */
    public void leaveUnsampled() {
        synchronized (this) {
            mInFlight--;
        }
        admitWaiting(mClock.monotonicMillis());
    }

    private void adjust(
            String route, int inFlightAtStart, long latencyMicros, boolean overloaded, long now) {
        WindowedMinLatency minLatency =
                mMinLatencies.computeIfAbsent(route, r -> new WindowedMinLatency());
        long minLatencyMicros = minLatency.update(overloaded ? Long.MAX_VALUE : latencyMicros, now);
        endRampUpWhenSteady(
                overloaded || latencyMicros > minLatencyMicros * RAMP_UP_SLOW_LATENCY_RATIO);
        double next =
                mSettings
                        .rule()
                        .next(
                                new LimitSample(
                                        mLimit,
                                        inFlightAtStart,
                                        latencyMicros,
                                        minLatencyMicros,
                                        overloaded,
                                        mRampingUp));
        if (next < mLimit) {
            mRampingUp = false;
            if (now - mLastDecreaseMillis < MIN_DECREASE_INTERVAL_MILLIS) {
                return;
            }
            mLastDecreaseMillis = now;
        }
        mLimit = Math.max(mSettings.minLimit(), Math.min(mSettings.maxLimit(), next));
    }

    private void endRampUpWhenSteady(boolean slow) {
        mSteadyAnswers = slow ? 0 : mSteadyAnswers + 1;
        if (mSteadyAnswers >= STEADY_ANSWERS) {
            mRampingUp = false;
        }
    }

    private void admitWaiting(long now) {
        expire(now);
        List<AdmissionCall> admitted = new ArrayList<>();
        synchronized (this) {
            while (!mQueue.isEmpty() && mInFlight < (int) mLimit) {
                mInFlight++;
                admitted.add(mQueue.removeFirst().call());
            }
        }
        admitted.forEach(AdmissionCall::onAdmitted);
    }

    /**
     * Refuses calls that have waited too long and admits others as far as the limit allows. Must be
     * called several times a second.
     */
    public void tick() {
        admitWaiting(mClock.monotonicMillis());
    }

    private void expire(long now) {
        List<Waiting> expired = new ArrayList<>();
        synchronized (this) {
            Iterator<Waiting> waiting = mQueue.iterator();
            while (waiting.hasNext()) {
                Waiting next = waiting.next();
                if (next.waitUntilMillis() <= now) {
                    waiting.remove();
                    expired.add(next);
                }
            }
        }
        for (Waiting waiting : expired) {
            boolean pastDeadline = waiting.call().deadlineMillis() <= now;
            waiting.call()
                    .onRefused(
                            pastDeadline
                                    ? NotRunReason.NOT_RUN_REASON_EXPIRED
                                    : NotRunReason.NOT_RUN_REASON_OVERLOADED);
        }
    }

    /**
     * Removes a waiting call from the queue and refuses it, because its caller has cancelled it.
     *
     * @return true if it was waiting and has been refused; false if it was already admitted or
     *     refused
     */
    public boolean cancel(AdmissionCall call) {
        boolean removed;
        synchronized (this) {
            removed = mQueue.removeIf(waiting -> waiting.call() == call);
        }
        if (removed) {
            call.onRefused(NotRunReason.NOT_RUN_REASON_CANCELLED);
        }
        return removed;
    }

    /** Refuses all waiting and all further calls. Calls in flight continue. */
    public void close() {
        List<Waiting> refused;
        synchronized (this) {
            mClosed = true;
            refused = new ArrayList<>(mQueue);
            mQueue.clear();
        }
        refused.forEach(w -> w.call().onRefused(NotRunReason.NOT_RUN_REASON_LEAVING));
    }

    /**
     * Accepts calls again with the initial limit, as for a backend server that has just started.
     */
    public synchronized void reopen() {
        mClosed = false;
        restart();
    }

    /**
     * Resets the limit to its initial value and ramps it up again, because the backend server had
     * no load for a while and may be cold. A closed gate stays closed.
     */
    public synchronized void restart() {
        mLimit = mSettings.initialLimit();
        mRampingUp = true;
        mSteadyAnswers = 0;
    }

    /**
     * Returns the current load.
     *
     * @return a consistent snapshot of the limit and of the calls in flight and waiting
     */
    public synchronized Load load() {
        return new Load((int) mLimit, mInFlight, mQueue.size(), mRampingUp);
    }
}
