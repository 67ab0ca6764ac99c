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
 * Compares limit rules on a modelled backend server under the same seeded load: slots as in the
 * brief, a queue inside the backend server, shedding beyond it, a cold start, and a turn to cold
 * without notice. The gate is the real one; time is simulated.
 */
public final class GateBench {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final double SERVICE_MILLIS = 20;
    private static final int BACKEND_QUEUE = 24;
    private static final int SECONDS = 120;
    private static final double COLD_SECONDS = 10;
    private static final double COLD_FACTOR = 3;
    private static final int COLD_SLOTS_DIVISOR = 3;
    private static final int TURNS_COLD_AT_SECOND = 60;
    private static final long CALLER_TIMEOUT_MILLIS = 1000;
    private static final long SEED = 20261204;

    private final ManualClock mClock = new ManualClock();
    // The arrivals of a run depend on nothing but the seed, so that all rules meet the same load.
    private final Random mArrivals = new Random(SEED);
    private final Random mServiceTimes = new Random(SEED + 1);
    private final PriorityQueue<Step> mSteps = new PriorityQueue<>();
    private final ArrayDeque<Call> mBackendQueue = new ArrayDeque<>();
    private final Histogram mMicros = new Histogram(60_000_000L, 3);
    private final int mSlots;
    private final Gate mGate;
    private long mOrder;
    private long mNow;
    private int mRunning;
    private int mMade;
    private int mRefused;
    private int mShed;
    private int mLate;

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

    private record Step(long atNanos, long order, Runnable run) implements Comparable<Step> {
        @Override
        public int compareTo(Step other) {
            int byTime = Long.compare(atNanos, other.atNanos);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    /**
     * Runs the comparison and prints one line a rule, load and number of slots.
     *
     * @param args none
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
        arrive(perSecond);
        tickEvery(50);
        while (!mSteps.isEmpty() && mSteps.peek().atNanos() < SECONDS * 1000L * NANOS_PER_MILLI) {
            Step step = mSteps.poll();
            mNow = step.atNanos();
            mClock.setNanos(mNow);
            step.run().run();
        }
        System.out.printf(
                "%-10s %5d %5.2f %8d %8d %8d %8d %8d %9.1f %9.1f%n",
                name,
                mSlots,
                load,
                mMade,
                mMicros.getTotalCount(),
                mRefused,
                mShed,
                mLate,
                mMicros.getValueAtPercentile(50) / 1000.0,
                mMicros.getValueAtPercentile(99) / 1000.0);
    }

    private void after(double millis, Runnable run) {
        mSteps.add(new Step(mNow + (long) (millis * NANOS_PER_MILLI), mOrder++, run));
    }

    private void arrive(double perSecond) {
        double gapMillis = -Math.log(1 - mArrivals.nextDouble()) * 1000 / perSecond;
        after(
                gapMillis,
                () -> {
                    mMade++;
                    mGate.enter(new Call(mNow));
                    arrive(perSecond);
                });
    }

    private void tickEvery(long millis) {
        after(
                millis,
                () -> {
                    mGate.tick();
                    tickEvery(millis);
                });
    }

    private boolean isCold() {
        double second = mNow / 1e9;
        boolean turned = second >= TURNS_COLD_AT_SECOND;
        double since = turned ? second - TURNS_COLD_AT_SECOND : second;
        return since < COLD_SECONDS;
    }

    private int slotsNow() {
        return isCold() ? Math.max(1, mSlots / COLD_SLOTS_DIVISOR) : mSlots;
    }

    /** One call at the gate and in the backend server. */
    private final class Call implements AdmissionCall {
        private final long mMadeNanos;
        private long mHandedOverNanos;
        private int mInFlight;

        Call(long madeNanos) {
            mMadeNanos = madeNanos;
        }

        @Override
        public long deadlineMillis() {
            return mMadeNanos / NANOS_PER_MILLI + CALLER_TIMEOUT_MILLIS;
        }

        @Override
        public void onAdmitted() {
            mInFlight = mGate.load().inFlight();
            mHandedOverNanos = mNow;
            if (mRunning < slotsNow()) {
                begin(this);
            } else if (mBackendQueue.size() < BACKEND_QUEUE) {
                mBackendQueue.add(this);
            } else {
                mShed++;
                after(0.2, () -> mGate.leave("r", mInFlight, 200, true));
            }
        }

        @Override
        public void onRefused(NotRunReason reason) {
            mRefused++;
        }
    }

    private void begin(Call call) {
        mRunning++;
        double millis = SERVICE_MILLIS * (0.8 + 0.4 * mServiceTimes.nextDouble());
        after(isCold() ? millis * COLD_FACTOR : millis, () -> end(call));
    }

    private void end(Call call) {
        mRunning--;
        while (mRunning < slotsNow() && !mBackendQueue.isEmpty()) {
            begin(mBackendQueue.poll());
        }
        long micros = (mNow - call.mMadeNanos) / 1000;
        if (micros > CALLER_TIMEOUT_MILLIS * 1000) {
            mLate++;
        } else {
            mMicros.recordValue(micros);
        }
        mGate.leave("r", call.mInFlight, (mNow - call.mHandedOverNanos) / 1000, false);
    }
}
