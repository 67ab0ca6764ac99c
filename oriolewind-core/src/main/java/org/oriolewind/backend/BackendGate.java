package org.oriolewind.backend;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.oriolewind.request.Cancellable;
import org.oriolewind.time.NodeClock;
import org.oriolewind.time.Timers;
import org.oriolewind.wire.NotRunReason;

/**
 * The gate in front of the backend server beside this node. It knows the backend server's slots, so
 * calls wait here, where they can be reordered and refused with certainty, and not there.
 *
 * <p>Order of waiting calls: those that can still be answered within their aim before those that
 * can't; then the higher rank, which operators give to calls that others wait for; then the
 * earliest aim. A call that would miss its aim by waiting is refused at once, so that its sender
 * can try elsewhere.
 *
 * <p>Invariants: calls in flight never exceed the limit; each call that enters is admitted or
 * refused once. Not safe for use by several threads.
 */
public final class BackendGate {
    /** Share of the mean service time that a call must have left to be worth starting. */
    private static final double MIN_TIME_LEFT_SHARE = 0.5;

    private static final int HIGHEST_RANK = 0;

    /** Age from which an estimate that refuses all calls of a route is put to the test. */
    private static final long OLD_ESTIMATE_MILLIS = 1000;

    /** Longest queue, against bursts of callers whose aims are long. */
    private static final int MAX_WAITING = 200;

    private final NodeClock mClock;
    private final Timers mTimers;
    private final ServiceTimeAverages mTimes = new ServiceTimeAverages();
    private final SlowStartLimiter mCold = new SlowStartLimiter();
    private final List<QueuedCall> mWaiting = new ArrayList<>();
    private int mLimit = 1;
    private int mInFlight;
    private long mWorkInFlightMillis;
    private Optional<Integer> mColdPerSecond = Optional.empty();
    private Optional<NotRunReason> mClosed = Optional.of(NotRunReason.NOT_RUN_REASON_UNREACHABLE);
    private Optional<Cancellable> mWakeUp = Optional.empty();

    /**
     * Creates a closed gate.
     *
     * @param clock the clock
     * @param timers wakes the gate up while a cold backend server is spared
     */
    public BackendGate(NodeClock clock, Timers timers) {
        mClock = clock;
        mTimers = timers;
    }

    /**
     * Opens the gate or adjusts it.
     *
     * @param limit calls in flight at most
     * @param coldPerSecond requests a second while the backend server is cold, empty if it is warm
     */
    public void open(int limit, Optional<Integer> coldPerSecond) {
        mLimit = Math.max(1, limit);
        mColdPerSecond = coldPerSecond;
        mClosed = Optional.empty();
        admitWaiting();
    }

    /**
     * Refuses calls from now on, and those that wait. Calls in flight go on.
     *
     * @param reason why
     */
    public void close(NotRunReason reason) {
        mClosed = Optional.of(reason);
        List<QueuedCall> refused = new ArrayList<>(mWaiting);
        mWaiting.clear();
        refused.forEach(call -> call.onRefused(reason, 0));
    }

    /**
     * Admits a call, lets it wait or refuses it.
     *
     * @param call the call
     */
    public void enter(QueuedCall call) {
        if (mClosed.isPresent()) {
            call.onRefused(mClosed.get(), 0);
            return;
        }
        long now = mClock.monotonicMillis();
        if (!isWorthStarting(call, now)) {
            if (!mayCorrectEstimate(call, now)) {
                call.onRefused(NotRunReason.NOT_RUN_REASON_EXPIRED, 0);
                return;
            }
            mTimes.forget(call.route());
        }
        if (mWaiting.isEmpty() && mInFlight < mLimit && coldWaitMillis(now) == 0) {
            admit(call, now);
            return;
        }
        long waitMillis = waitMillis(call, now);
        if (mWaiting.size() >= MAX_WAITING || !isInTime(call, now + waitMillis)) {
            call.onRefused(
                    NotRunReason.NOT_RUN_REASON_OVERLOADED, Math.max(1, excessMillis(call, now)));
            return;
        }
        mWaiting.add(call);
        admitWaiting();
    }

    /** Time by which the wait is longer than the call can bear. */
    private long excessMillis(QueuedCall call, long now) {
        return now + waitMillis(call, now) + mTimes.millis(call.route()) - targetMillis(call, now);
    }

    /**
     * The aim if the call could meet it without waiting, else its deadline. Calls of the highest
     * rank are given until their deadline, as others may wait for them with work already done.
     */
    private long targetMillis(QueuedCall call, long now) {
        boolean mayMeetAim = now + mTimes.millis(call.route()) <= call.targetLatencyMillis();
        return mayMeetAim && call.priority() > HIGHEST_RANK
                ? call.targetLatencyMillis()
                : call.deadlineMillis();
    }

    private boolean isInTime(QueuedCall call, long startMillis) {
        return startMillis + mTimes.millis(call.route())
                <= targetMillis(call, mClock.monotonicMillis());
    }

    private boolean isWorthStarting(QueuedCall call, long now) {
        return now + mTimes.millis(call.route()) * MIN_TIME_LEFT_SHARE < call.deadlineMillis();
    }

    /**
     * Without calls a wrong estimate would never be corrected, so an idle backend server gets one
     * when the estimate is old.
     */
    private boolean mayCorrectEstimate(QueuedCall call, long now) {
        return mInFlight == 0
                && call.deadlineMillis() > now
                && mTimes.isOlderThan(call.route(), now - OLD_ESTIMATE_MILLIS);
    }

    private long coldWaitMillis(long now) {
        return mColdPerSecond.map(rate -> mCold.waitMillis(now, rate)).orElse(0L);
    }

    private long waitMillis(QueuedCall call, long now) {
        // With all slots taken, one comes free each mean service time divided by their number.
        long workMillis = mInFlight < mLimit ? 0 : mWorkInFlightMillis / Math.max(1, mInFlight);
        int ahead = 0;
        for (QueuedCall waiting : mWaiting) {
            if (isBefore(waiting, call, now)) {
                workMillis += mTimes.millis(waiting.route());
                ahead++;
            }
        }
        long bySlots = workMillis / mLimit;
        int position = ahead;
        long byColdness =
                mColdPerSecond
                        .map(rate -> coldWaitMillis(now) + position * 1000L / rate)
                        .orElse(0L);
        return Math.max(bySlots, byColdness);
    }

    private boolean isBefore(QueuedCall one, QueuedCall other, long now) {
        if (one.priority() != other.priority()) {
            return one.priority() < other.priority();
        }
        boolean oneInAim = now + mTimes.millis(one.route()) <= one.targetLatencyMillis();
        boolean otherInAim = now + mTimes.millis(other.route()) <= other.targetLatencyMillis();
        if (oneInAim != otherInAim) {
            return oneInAim;
        }
        return one.targetLatencyMillis() <= other.targetLatencyMillis();
    }

    private void admit(QueuedCall call, long now) {
        mInFlight++;
        mWorkInFlightMillis += mTimes.millis(call.route());
        mCold.onAdmitted(now);
        call.onAdmitted();
    }

    private void admitWaiting() {
        while (!mWaiting.isEmpty() && mInFlight < mLimit) {
            long now = mClock.monotonicMillis();
            long coldWait = coldWaitMillis(now);
            if (coldWait > 0) {
                wakeUpAfter(coldWait);
                return;
            }
            QueuedCall next = mWaiting.get(0);
            for (QueuedCall waiting : mWaiting) {
                if (waiting != next && isBefore(waiting, next, now)) {
                    next = waiting;
                }
            }
            mWaiting.remove(next);
            if (isWorthStarting(next, now)) {
                admit(next, now);
            } else {
                next.onRefused(NotRunReason.NOT_RUN_REASON_EXPIRED, 0);
            }
        }
    }

    private void wakeUpAfter(long delayMillis) {
        mWakeUp.ifPresent(Cancellable::cancel);
        mWakeUp = Optional.of(mTimers.schedule(delayMillis, this::admitWaiting));
    }

    /**
     * Takes the end of an admitted call.
     *
     * @param route the route's name
     * @param serviceMicros time in the backend server, empty if it says nothing about its speed
     */
    public void leave(String route, Optional<Long> serviceMicros) {
        mInFlight--;
        mWorkInFlightMillis =
                mInFlight == 0 ? 0 : Math.max(0, mWorkInFlightMillis - mTimes.millis(route));
        serviceMicros.ifPresent(micros -> mTimes.add(route, micros, mClock.monotonicMillis()));
        admitWaiting();
    }

    /**
     * Takes a waiting call out, because its caller is gone.
     *
     * @param call the call
     * @return true if it was waiting; it has been refused then
     */
    public boolean cancel(QueuedCall call) {
        if (!mWaiting.remove(call)) {
            return false;
        }
        call.onRefused(NotRunReason.NOT_RUN_REASON_CANCELLED, 0);
        return true;
    }

    /** Refuses waiting calls whose time has run out. To be called several times a second. */
    public void tick() {
        long now = mClock.monotonicMillis();
        for (QueuedCall call : new ArrayList<>(mWaiting)) {
            if (!isWorthStarting(call, now) && mWaiting.remove(call)) {
                call.onRefused(NotRunReason.NOT_RUN_REASON_EXPIRED, 0);
            }
        }
        admitWaiting();
    }

    /**
     * Returns the limit.
     *
     * @return calls in flight at most
     */
    public int limit() {
        return mLimit;
    }

    /**
     * Returns the calls that are in flight or wait.
     *
     * @return the number
     */
    public int load() {
        return mInFlight + mWaiting.size();
    }

    /**
     * Returns the calls in flight.
     *
     * @return the number
     */
    public int inFlight() {
        return mInFlight;
    }

    /**
     * Returns the mean time in the backend server.
     *
     * @return microseconds, 0 if not known
     */
    public long meanMicros() {
        return mTimes.meanMicros();
    }
}
