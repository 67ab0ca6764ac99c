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
 * The gate in front of one backend server. All calls to the backend server pass it, so that the
 * number in flight is exact.
 *
 * <p>Invariants: calls in flight never exceed the limit in force when they were admitted; each call
 * that enters is admitted or refused once; a refused call was not handed over. Safe for use by
 * several threads; callbacks run outside the lock.
 */
public final class Gate {
    /** Shortest time between two decreases, so that one burst counts once. */
    private static final long DECREASE_PAUSE_MILLIS = 100;

    /** Answers in a row, none of them slow, after which a start is over. */
    private static final int STEADY_ANSWERS = 8;

    private static final int SLOW_FACTOR = 2;

    private final GateSettings mSettings;
    private final NodeClock mClock;
    private final ArrayDeque<Waiting> mQueue = new ArrayDeque<>();
    private final Map<String, WindowedMinLatency> mFloors = new HashMap<>();
    private double mLimit;
    private int mInFlight;
    private boolean mOpening = true;
    private int mSteadyAnswers;
    private boolean mClosed;
    private long mDecreasedMillis = Long.MIN_VALUE / 2;

    private record Waiting(AdmissionCall call, long untilMillis) {}

    /** The load of a gate at an instant. */
    public record Load(int limit, int inFlight, int queued, boolean opening) {}

    /**
     * Creates a gate for a backend server that was just started.
     *
     * @param settings the settings
     * @param clock the clock
     */
    public Gate(GateSettings settings, NodeClock clock) {
        mSettings = settings;
        mClock = clock;
        mLimit = settings.initialLimit();
    }

    /**
     * Admits a call, lets it wait or refuses it.
     *
     * @param call the call
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
                long untilMillis = now + mSettings.queueWait().toMillis();
                mQueue.addLast(new Waiting(call, Math.min(untilMillis, call.deadlineMillis())));
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
     * Takes the end of an admitted call, adjusts the limit and admits waiting calls.
     *
     * @param route the route's name
     * @param inFlightAtStart calls in flight when the call was handed over
     * @param latencyMicros time in the backend server, in microseconds
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

    /** Takes the end of an admitted call that says nothing about the backend server. */
    public void leaveUnsampled() {
        synchronized (this) {
            mInFlight--;
        }
        admitWaiting(mClock.monotonicMillis());
    }

    private void adjust(
            String route, int inFlightAtStart, long latencyMicros, boolean overloaded, long now) {
        WindowedMinLatency floor = mFloors.computeIfAbsent(route, r -> new WindowedMinLatency());
        long floorMicros = floor.update(overloaded ? Long.MAX_VALUE : latencyMicros, now);
        endOpeningWhenSteady(overloaded || latencyMicros > floorMicros * SLOW_FACTOR);
        double next =
                mSettings
                        .rule()
                        .next(
                                new LimitSample(
                                        mLimit,
                                        inFlightAtStart,
                                        latencyMicros,
                                        floorMicros,
                                        overloaded,
                                        mOpening));
        if (next < mLimit) {
            mOpening = false;
            if (now - mDecreasedMillis < DECREASE_PAUSE_MILLIS) {
                return;
            }
            mDecreasedMillis = now;
        }
        mLimit = Math.max(mSettings.minLimit(), Math.min(mSettings.maxLimit(), next));
    }

    private void endOpeningWhenSteady(boolean slow) {
        mSteadyAnswers = slow ? 0 : mSteadyAnswers + 1;
        if (mSteadyAnswers >= STEADY_ANSWERS) {
            mOpening = false;
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

    /** Refuses calls that have waited too long. To be called several times a second. */
    public void tick() {
        admitWaiting(mClock.monotonicMillis());
    }

    private void expire(long now) {
        List<Waiting> expired = new ArrayList<>();
        synchronized (this) {
            Iterator<Waiting> waiting = mQueue.iterator();
            while (waiting.hasNext()) {
                Waiting next = waiting.next();
                if (next.untilMillis() <= now) {
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
     * Takes a waiting call out of the queue because its caller is gone.
     *
     * @param call the call
     * @return true if it was waiting; it has been refused then
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

    /** Refuses all further calls and those that wait. Calls in flight go on. */
    public void close() {
        List<Waiting> refused;
        synchronized (this) {
            mClosed = true;
            refused = new ArrayList<>(mQueue);
            mQueue.clear();
        }
        refused.forEach(w -> w.call().onRefused(NotRunReason.NOT_RUN_REASON_LEAVING));
    }

    /** Takes calls again, as for a backend server that was just started. */
    public synchronized void reopen() {
        mClosed = false;
        restart();
    }

    /**
     * Begins with a small limit again, since the backend server had no load for a while and may be
     * cold. A closed gate stays closed.
     */
    public synchronized void restart() {
        mLimit = mSettings.initialLimit();
        mOpening = true;
        mSteadyAnswers = 0;
    }

    /**
     * Returns the load.
     *
     * @return the limit, and the calls in flight and waiting
     */
    public synchronized Load load() {
        return new Load((int) mLimit, mInFlight, mQueue.size(), mOpening);
    }
}
