package org.oriolewind.backend;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.oriolewind.request.Cancellable;
import org.oriolewind.time.NodeClock;
import org.oriolewind.time.Timers;
import org.oriolewind.wire.NotRunReason;

/**
 * Admission gate in front of the backend server beside this node. The gate admits only as many
 * calls as the backend server has slots. Excess calls queue here and not in the backend server,
 * because here they can be reordered, and refused with certainty that they were not run.
 *
 * <p>Order of waiting calls: the higher priority, which operators give to calls that other calls
 * depend on; then calls that can still meet their latency target; then the earliest target. A call
 * that would end too late if it waited (after its target, or after its deadline if it has the
 * highest priority or cannot meet its target) is refused at once, so that its sender can try
 * another node.
 *
 * <p>Invariants: calls in flight never exceed the limit that was in force when they were admitted;
 * each call that enters is admitted or refused exactly once. Not thread-safe.
 */
public final class BackendGate {
    /**
     * A call is admitted only if this share of its route's mean service time is left before its
     * deadline.
     */
    private static final double MIN_TIME_LEFT_SHARE = 0.5;

    private static final int HIGHEST_PRIORITY = 0;

    /**
     * Age from which a service time estimate that leads to the refusal of all calls of a route is
     * verified with a call.
     */
    private static final long STALE_ESTIMATE_MILLIS = 1000;

    /** Maximum queue length, against bursts of calls with generous latency targets. */
    private static final int MAX_WAITING = 200;

    private final NodeClock mClock;
    private final Timers mTimers;
    private final ServiceTimeAverages mServiceTimes = new ServiceTimeAverages();
    private final SlowStartLimiter mSlowStartLimiter = new SlowStartLimiter();
    private final List<QueuedCall> mWaiting = new ArrayList<>();
    private int mLimit = 1;
    private int mInFlight;
    private long mWorkInFlightMillis;
    private Optional<Integer> mColdPerSecond = Optional.empty();
    private Optional<NotRunReason> mClosedReason =
            Optional.of(NotRunReason.NOT_RUN_REASON_UNREACHABLE);
    private Optional<Cancellable> mAdmissionTimer = Optional.empty();

    /**
     * Creates a closed gate.
     *
     * @param clock provides monotonic time
     * @param timers schedules the admission of calls that the slow start limit delays
     */
    public BackendGate(NodeClock clock, Timers timers) {
        mClock = clock;
        mTimers = timers;
    }

    /**
     * Opens the gate, or adjusts an open one, and admits waiting calls.
     *
     * @param limit maximum number of calls in flight; less than 1 counts as 1
     * @param coldPerSecond requests allowed per second while the backend server is cold, empty if
     *     it is warm
     */
    public void open(int limit, Optional<Integer> coldPerSecond) {
        mLimit = Math.max(1, limit);
        mColdPerSecond = coldPerSecond;
        mClosedReason = Optional.empty();
        admitWaiting();
    }

    /**
     * Refuses waiting calls and all calls from now on. Calls in flight continue.
     *
     * @param reason the reason given to each refused call
     */
    public void close(NotRunReason reason) {
        mClosedReason = Optional.of(reason);
        List<QueuedCall> refused = new ArrayList<>(mWaiting);
        mWaiting.clear();
        refused.forEach(call -> call.onRefused(reason, 0));
    }

    /** Admits a call, queues it or refuses it. */
    public void enter(QueuedCall call) {
        if (mClosedReason.isPresent()) {
            call.onRefused(mClosedReason.get(), 0);
            return;
        }
        long now = mClock.monotonicMillis();
        if (!hasTimeToRun(call, now)) {
            if (!shouldVerifyEstimate(call, now)) {
                call.onRefused(NotRunReason.NOT_RUN_REASON_EXPIRED, 0);
                return;
            }
            mServiceTimes.discard(call.route());
        }
        if (mWaiting.isEmpty() && mInFlight < mLimit && slowStartWaitMillis(now) == 0) {
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

    /** Returns by how much the expected end exceeds the latest acceptable end of the call. */
    private long excessMillis(QueuedCall call, long now) {
        return now
                + waitMillis(call, now)
                + mServiceTimes.millis(call.route())
                - latestEndMillis(call, now);
    }

    /**
     * Returns the latency target if the call could meet it without waiting, else its deadline.
     * Calls of the highest priority may always use the time until their deadline, since calls that
     * have already done work may depend on them.
     */
    private long latestEndMillis(QueuedCall call, long now) {
        return canMeetTarget(call, now) && call.priority() > HIGHEST_PRIORITY
                ? call.targetMillis()
                : call.deadlineMillis();
    }

    private boolean isInTime(QueuedCall call, long startMillis) {
        return startMillis + mServiceTimes.millis(call.route())
                <= latestEndMillis(call, mClock.monotonicMillis());
    }

    private boolean hasTimeToRun(QueuedCall call, long now) {
        return now + mServiceTimes.millis(call.route()) * MIN_TIME_LEFT_SHARE
                < call.deadlineMillis();
    }

    /**
     * Without calls, a wrong service time estimate would never be corrected. An idle backend server
     * therefore receives a call when the estimate is stale.
     */
    private boolean shouldVerifyEstimate(QueuedCall call, long now) {
        return mInFlight == 0
                && call.deadlineMillis() > now
                && mServiceTimes.isOlderThan(call.route(), now - STALE_ESTIMATE_MILLIS);
    }

    private long slowStartWaitMillis(long now) {
        return mColdPerSecond.map(rate -> mSlowStartLimiter.waitMillis(now, rate)).orElse(0L);
    }

    private long waitMillis(QueuedCall call, long now) {
        Comparator<QueuedCall> order = admissionOrder(now);
        long workAheadMillis = workUntilFreeSlotMillis();
        int ahead = 0;
        for (QueuedCall waiting : mWaiting) {
            if (order.compare(waiting, call) <= 0) {
                workAheadMillis += mServiceTimes.millis(waiting.route());
                ahead++;
            }
        }
        return waitMillis(workAheadMillis, ahead, now);
    }

    /**
     * Returns the work after which a slot is expected to be free: with all slots taken, one becomes
     * free every mean service time divided by their number.
     */
    private long workUntilFreeSlotMillis() {
        return mInFlight < mLimit ? 0 : mWorkInFlightMillis / Math.max(1, mInFlight);
    }

    private long waitMillis(long workAheadMillis, int callsAhead, long now) {
        long rateWaitMillis =
                mColdPerSecond
                        .map(rate -> slowStartWaitMillis(now) + callsAhead * 1000L / rate)
                        .orElse(0L);
        return Math.max(workAheadMillis / mLimit, rateWaitMillis);
    }

    /** Returns the order of admission that the class comment states. */
    private Comparator<QueuedCall> admissionOrder(long now) {
        return Comparator.comparingInt(QueuedCall::priority)
                .thenComparing(call -> !canMeetTarget(call, now))
                .thenComparingLong(QueuedCall::targetMillis);
    }

    private boolean canMeetTarget(QueuedCall call, long now) {
        return now + mServiceTimes.millis(call.route()) <= call.targetMillis();
    }

    private void admit(QueuedCall call, long now) {
        mInFlight++;
        mWorkInFlightMillis += mServiceTimes.millis(call.route());
        mSlowStartLimiter.onAdmitted(now);
        call.onAdmitted();
    }

    private void admitWaiting() {
        while (!mWaiting.isEmpty() && mInFlight < mLimit) {
            long now = mClock.monotonicMillis();
            long waitMillis = slowStartWaitMillis(now);
            if (waitMillis > 0) {
                scheduleAdmission(waitMillis);
                return;
            }
            QueuedCall next = Collections.min(mWaiting, admissionOrder(now));
            mWaiting.remove(next);
            if (hasTimeToRun(next, now)) {
                admit(next, now);
            } else {
                next.onRefused(NotRunReason.NOT_RUN_REASON_EXPIRED, 0);
            }
        }
    }

    private void scheduleAdmission(long delayMillis) {
        mAdmissionTimer.ifPresent(Cancellable::cancel);
        mAdmissionTimer = Optional.of(mTimers.schedule(delayMillis, this::admitWaiting));
    }

    /**
     * Reports the end of an admitted call and admits waiting calls.
     *
     * @param route name of the call's route
     * @param serviceMicros service time in the backend server, in microseconds; empty if it says
     *     nothing about the speed of the backend server
     */
    public void leave(String route, Optional<Long> serviceMicros) {
        mInFlight--;
        mWorkInFlightMillis =
                mInFlight == 0 ? 0 : Math.max(0, mWorkInFlightMillis - mServiceTimes.millis(route));
        serviceMicros.ifPresent(
                micros -> mServiceTimes.add(route, micros, mClock.monotonicMillis()));
        admitWaiting();
    }

    /**
     * Removes a waiting call and refuses it, because its caller has cancelled it.
     *
     * @return true if it was waiting and has been refused
     */
    public boolean cancel(QueuedCall call) {
        if (!mWaiting.remove(call)) {
            return false;
        }
        call.onRefused(NotRunReason.NOT_RUN_REASON_CANCELLED, 0);
        return true;
    }

    /**
     * Refuses waiting calls that will have too little time left when their turn comes, and admits
     * others. The wait that a call was accepted with grows when the backend server slows down or
     * calls of a higher priority arrive. Must be called several times a second.
     */
    public void tick() {
        long now = mClock.monotonicMillis();
        List<QueuedCall> ordered = new ArrayList<>(mWaiting);
        ordered.sort(admissionOrder(now));
        long workAheadMillis = workUntilFreeSlotMillis();
        int ahead = 0;
        for (QueuedCall call : ordered) {
            long startMillis = now + waitMillis(workAheadMillis, ahead, now);
            if (hasTimeToRun(call, startMillis)) {
                workAheadMillis += mServiceTimes.millis(call.route());
                ahead++;
            } else if (mWaiting.remove(call)) {
                refuseHopeless(call, now, startMillis);
            }
        }
        admitWaiting();
    }

    private void refuseHopeless(QueuedCall call, long now, long startMillis) {
        if (hasTimeToRun(call, now)) {
            long excessMillis =
                    startMillis + mServiceTimes.millis(call.route()) - call.deadlineMillis();
            call.onRefused(NotRunReason.NOT_RUN_REASON_OVERLOADED, Math.max(1, excessMillis));
        } else {
            call.onRefused(NotRunReason.NOT_RUN_REASON_EXPIRED, 0);
        }
    }

    /** Returns the maximum number of calls in flight. */
    public int limit() {
        return mLimit;
    }

    /** Returns the number of calls that are in flight or waiting. */
    public int load() {
        return mInFlight + mWaiting.size();
    }

    /** Returns the number of calls that are admitted and have not ended. */
    public int inFlight() {
        return mInFlight;
    }

    /**
     * Returns the average service time in the backend server over all routes.
     *
     * @return microseconds, 0 before the first answer
     */
    public long meanMicros() {
        return mServiceTimes.meanMicros();
    }
}
