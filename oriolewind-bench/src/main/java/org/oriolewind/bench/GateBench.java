package org.oriolewind.bench;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.PriorityQueue;
import java.util.Random;
import org.HdrHistogram.Histogram;
import org.oriolewind.admission.AdmissionCall;
import org.oriolewind.admission.Gate;
import org.oriolewind.admission.GateSettings;
import org.oriolewind.admission.LimitRule;
import org.oriolewind.wire.NotRunReason;

/**
 * Compares the rules for the concurrency limit on a simulated backend server under the same seeded
 * load. The backend server runs a fixed number of calls at a time, queues some more and sheds the
 * rest; it begins with a cold start and has another one, unannounced, halfway through the run. The
 * admission gate is the real one; time is simulated. Not thread-safe.
 */
public final class GateBench {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final double SERVICE_MILLIS = 20;
    private static final int BACKEND_QUEUE_LENGTH = 24;
    private static final int SIMULATED_SECONDS = 120;
    private static final double COLD_START_SECONDS = 10;
    private static final double COLD_SLOW_FACTOR = 3;
    private static final int COLD_SLOTS_DIVISOR = 3;
    private static final int SECOND_COLD_START_AT_SECOND = 60;
    private static final long CALLER_TIMEOUT_MILLIS = 1000;
    private static final long SEED = 20261204;

    private final ManualClock mClock = new ManualClock();
    // Arrivals have a generator of their own and depend on the seed alone, so that all rules get
    // the same load.
    private final Random mArrivals = new Random(SEED);
    private final Random mServiceTimes = new Random(SEED + 1);
    private final PriorityQueue<ScheduledEvent> mSchedule = new PriorityQueue<>();
    private final ArrayDeque<Call> mBackendQueue = new ArrayDeque<>();
    private final Histogram mAnsweredMicros = new Histogram(60_000_000L, 3);
    private final int mSlots;
    private final Gate mGate;
    private long mNextOrder;
    private long mNowNanos;
    private int mRunningCalls;
    private int mMadeCalls;
    private int mRefusedCalls;
    private int mShedCalls;
    private int mTimedOutCalls;

    private GateBench(LimitRule rule, int initialLimit, int slots) {
        mSlots = slots;
        GateSettings defaults = GateSettings.defaults();
        mGate =
                new Gate(
                        new GateSettings(
                                rule,
                                initialLimit,
                                defaults.minLimit(),
                                defaults.maxLimit(),
                                defaults.queueLength(),
                                Duration.ofMillis(200)),
                        mClock);
    }

    /** An action at a simulated time. Events of the same time run in the order of scheduling. */
    private record ScheduledEvent(long atNanos, long order, Runnable action)
            implements Comparable<ScheduledEvent> {
        @Override
        public int compareTo(ScheduledEvent other) {
            int byTime = Long.compare(atNanos, other.atNanos);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    /**
     * Runs the comparison and prints one line for each number of slots, load and rule. Rule {@code
     * none} is a fixed limit of 64, far above the slots; load is relative to the capacity.
     *
     * @param args not used
     */
    public static void main(String[] args) {
        System.out.printf(
                "%-10s %5s %5s %8s %8s %8s %8s %8s %9s %9s%n",
                "rule",
                "slots",
                "load",
                "made",
                "answered",
                "refused",
                "shed",
                "late",
                "median ms",
                "p99 ms");
        for (int slots : new int[] {6, 9}) {
            for (double load : new double[] {0.6, 0.95, 1.5}) {
                new GateBench(LimitRule.FIXED, 64, slots).run("none", load);
                new GateBench(LimitRule.FIXED, slots, slots).run("fixed", load);
                new GateBench(LimitRule.ADDITIVE, 2, slots).run("additive", load);
                new GateBench(LimitRule.GRADIENT, 2, slots).run("gradient", load);
            }
        }
    }

    private void run(String name, double load) {
        double perSecond = mSlots / SERVICE_MILLIS * 1000 * load;
        scheduleArrival(perSecond);
        tickEvery(50);
        while (!mSchedule.isEmpty()
                && mSchedule.peek().atNanos() < SIMULATED_SECONDS * 1000L * NANOS_PER_MILLI) {
            ScheduledEvent event = mSchedule.poll();
            mNowNanos = event.atNanos();
            mClock.setNanos(mNowNanos);
            event.action().run();
        }
        System.out.printf(
                "%-10s %5d %5.2f %8d %8d %8d %8d %8d %9.1f %9.1f%n",
                name,
                mSlots,
                load,
                mMadeCalls,
                mAnsweredMicros.getTotalCount(),
                mRefusedCalls,
                mShedCalls,
                mTimedOutCalls,
                mAnsweredMicros.getValueAtPercentile(50) / 1000.0,
                mAnsweredMicros.getValueAtPercentile(99) / 1000.0);
    }

    private void schedule(double millis, Runnable action) {
        mSchedule.add(
                new ScheduledEvent(
                        mNowNanos + (long) (millis * NANOS_PER_MILLI), mNextOrder++, action));
    }

    private void scheduleArrival(double perSecond) {
        double gapMillis = -Math.log(1 - mArrivals.nextDouble()) * 1000 / perSecond;
        schedule(
                gapMillis,
                () -> {
                    mMadeCalls++;
                    mGate.enter(new Call(mNowNanos));
                    scheduleArrival(perSecond);
                });
    }

    private void tickEvery(long millis) {
        schedule(
                millis,
                () -> {
                    mGate.tick();
                    tickEvery(millis);
                });
    }

    /** Returns whether the backend server is in one of its two cold starts. */
    private boolean isCold() {
        double second = mNowNanos / 1e9;
        boolean restarted = second >= SECOND_COLD_START_AT_SECOND;
        double secondsSinceStart = restarted ? second - SECOND_COLD_START_AT_SECOND : second;
        return secondsSinceStart < COLD_START_SECONDS;
    }

    private int slotsNow() {
        return isCold() ? Math.max(1, mSlots / COLD_SLOTS_DIVISOR) : mSlots;
    }

    /** A call that passes the admission gate and runs on the backend server. */
    private final class Call implements AdmissionCall {
        private final long mArrivalNanos;
        private long mForwardedNanos;
        private int mInFlightAtStart;

        Call(long arrivalNanos) {
            mArrivalNanos = arrivalNanos;
        }

        @Override
        public long deadlineMillis() {
            return mArrivalNanos / NANOS_PER_MILLI + CALLER_TIMEOUT_MILLIS;
        }

        @Override
        public void onAdmitted() {
            mInFlightAtStart = mGate.load().inFlight();
            mForwardedNanos = mNowNanos;
            if (mRunningCalls < slotsNow()) {
                beginRun(this);
            } else if (mBackendQueue.size() < BACKEND_QUEUE_LENGTH) {
                mBackendQueue.add(this);
            } else {
                mShedCalls++;
                // The backend server sheds a call after 0.2 ms.
                schedule(0.2, () -> mGate.leave("r", mInFlightAtStart, 200, true));
            }
        }

        @Override
        public void onRefused(NotRunReason reason) {
            mRefusedCalls++;
        }
    }

    private void beginRun(Call call) {
        mRunningCalls++;
        double millis = SERVICE_MILLIS * (0.8 + 0.4 * mServiceTimes.nextDouble());
        schedule(isCold() ? millis * COLD_SLOW_FACTOR : millis, () -> endRun(call));
    }

    private void endRun(Call call) {
        mRunningCalls--;
        while (mRunningCalls < slotsNow() && !mBackendQueue.isEmpty()) {
            beginRun(mBackendQueue.poll());
        }
        long micros = (mNowNanos - call.mArrivalNanos) / 1000;
        if (micros > CALLER_TIMEOUT_MILLIS * 1000) {
            mTimedOutCalls++;
        } else {
            mAnsweredMicros.recordValue(micros);
        }
        mGate.leave("r", call.mInFlightAtStart, (mNowNanos - call.mForwardedNanos) / 1000, false);
    }
}
