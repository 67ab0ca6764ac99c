package org.oriolewind.bench;

import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.oriolewind.analysis.EvidenceCollector;
import org.oriolewind.analysis.EvidenceKey;
import org.oriolewind.analysis.EvidenceWindows;
import org.oriolewind.analysis.MoveDecision;
import org.oriolewind.analysis.MoveEdit;
import org.oriolewind.analysis.MovePolicy;
import org.oriolewind.analysis.ProportionRule;
import org.oriolewind.analysis.VersionEvaluator;
import org.oriolewind.config.BasisPoints;
import org.oriolewind.config.ConfigEntries;
import org.oriolewind.config.MeshConfig;
import org.oriolewind.config.Move;
import org.oriolewind.config.MovePhase;
import org.oriolewind.config.NoteEdit;
import org.oriolewind.config.NoteReader;
import org.oriolewind.wire.EvidenceCount;

/**
 * One rollout of a new version with simulated time and calls. Evidence reaches the decision with a
 * delay, as it does when it is relayed over the control tree. Not thread-safe.
 */
final class SimulatedRollout {
    private static final int STEP_MILLIS = 100;
    private static final int REPORT_INTERVAL_STEPS = 5;
    private static final int EVIDENCE_DELAY_STEPS = 5;
    private static final int DECISION_INTERVAL_STEPS = 2;
    private static final double OLD_VERSION_FAILURE_SHARE = 0.005;
    private static final double[] ROUTE_SHARES = {0.88, 0.10, 0.02};
    private static final double SERVICE_MILLIS = 20;
    private static final double LATENCY_SIGMA = 0.35;

    /** Number of calls of the service until the deadline, which is at least 120 s away. */
    private static final int DEADLINE_CALLS = 18_000;

    private static final int MIN_DEADLINE_SECONDS = 120;

    /** Time simulated after completion: half of {@link Move#MONITORING_PERIOD}. */
    private static final int MONITORING_SECONDS = 300;

    private final MovePolicy mPolicy;
    private final double mCallsPerSecond;
    private final VersionModel mVersionModel;
    private final Random mRandom;
    private final EvidenceCollector mCollector = new EvidenceCollector();
    private final EvidenceWindows mWindows = new EvidenceWindows();
    private final ArrayDeque<List<EvidenceCount>> mInTransit = new ArrayDeque<>();
    private final Instant mStart = Instant.parse("2026-01-01T00:00:00Z");
    private final int mDeadlineSeconds;
    private MeshConfig mConfig = MeshConfig.EMPTY;
    private Instant mNow = mStart;
    private double mFirstCallSecond = -1;
    private double mFirstBadCallSecond = -1;
    private long mBadCalls;
    private long mCallsSinceFault;

    SimulatedRollout(
            ProportionRule rule, double callsPerSecond, VersionModel versionModel, long seed) {
        mPolicy = new MovePolicy(new VersionEvaluator(rule));
        mCallsPerSecond = callsPerSecond;
        mVersionModel = versionModel;
        mRandom = new Random(seed);
        mDeadlineSeconds = Math.max(MIN_DEADLINE_SECONDS, (int) (DEADLINE_CALLS / callsPerSecond));
    }

    /**
     * The result of a rollout. Bad calls are those that ran on the new version while its fault was
     * active.
     *
     * @param doneInTime whether the rollout was complete by its deadline and not rolled back
     * @param late whether the move had a reason for being late at any time
     * @param rolledBack whether the new version was rolled back
     * @param seconds time until the rollout was complete, infinite if it never was; if rolled back,
     *     time from the first bad call, or from the start if there was none, to the rollback
     * @param badShare bad calls as a share of all calls since the first bad one, 0 if there was
     *     none
     * @param badCalls number of bad calls
     */
    record Outcome(
            boolean doneInTime,
            boolean late,
            boolean rolledBack,
            double seconds,
            double badShare,
            long badCalls) {}

    Outcome run() throws Exception {
        publish();
        int step = 0;
        boolean late = false;
        Optional<Double> doneSecond = Optional.empty();
        double maxSeconds = mDeadlineSeconds * 3.0 + MONITORING_SECONDS;
        while (elapsedSeconds() < maxSeconds) {
            mNow = mNow.plusMillis(STEP_MILLIS);
            step++;
            simulateCalls(move());
            relayEvidence(step);
            if (step % DECISION_INTERVAL_STEPS == 0) {
                decide();
            }
            late |= move().lateReason().isPresent();
            if (move().phase() == MovePhase.TAKEN_BACK) {
                return outcome(doneSecond, late, true);
            }
            if (move().phase() == MovePhase.DONE && doneSecond.isEmpty()) {
                doneSecond = Optional.of(elapsedSeconds());
            }
            if (doneSecond.isPresent()
                    && elapsedSeconds() > doneSecond.get() + MONITORING_SECONDS) {
                break;
            }
        }
        return outcome(doneSecond, late, false);
    }

    private Outcome outcome(Optional<Double> doneSecond, boolean late, boolean rolledBack) {
        double seconds =
                rolledBack
                        ? elapsedSeconds() - Math.max(0, mFirstBadCallSecond)
                        : doneSecond.orElse(Double.POSITIVE_INFINITY);
        boolean inTime = !rolledBack && doneSecond.filter(s -> s <= mDeadlineSeconds).isPresent();
        double badShare = mCallsSinceFault == 0 ? 0 : (double) mBadCalls / mCallsSinceFault;
        return new Outcome(inTime, late, rolledBack, seconds, badShare, mBadCalls);
    }

    private double elapsedSeconds() {
        return Duration.between(mStart, mNow).toMillis() / 1000.0;
    }

    private Move move() {
        return mConfig.moves().get("m#0");
    }

    private void publish() throws Exception {
        apply(
                """
                {"id": "base", "services": {"added": [
                  {"name": "s", "shares": {"v1": 100, "v2": 0}}]}}
                """);
        apply(
                String.format(
                        "{\"id\": \"m\", \"moves\": [{\"service\": \"s\", \"from\": \"v1\","
                                + " \"to\": \"v2\", \"share\": %s, \"by\": \"%s\"}]}",
                        BigDecimal.valueOf(100), mStart.plusSeconds(mDeadlineSeconds)));
    }

    private void apply(String note) throws Exception {
        ConfigEntries draft = mConfig.edit();
        new NoteEdit(NoteReader.read(note.getBytes(StandardCharsets.UTF_8)))
                .apply(mConfig, draft, mNow);
        mConfig = draft.build(mConfig.version() + 1);
    }

    private void decide() throws Exception {
        Move move = move();
        boolean monitored = move.phase().isActive() || move.isMonitored(mNow);
        if (!monitored) {
            return;
        }
        MoveDecision decision =
                mPolicy.decide(
                        move, mWindows.pairs("s", "v1", "v2"), mWindows.windowStart("s"), mNow);
        if (decision.action() == MoveDecision.Action.RESTART_WINDOW) {
            mWindows.restart("s", decision, mNow);
        } else if (decision.changesConfig()) {
            ConfigEntries draft = mConfig.edit();
            if (new MoveEdit(move.id(), move.stage(), 1, decision).apply(mConfig, draft, mNow)) {
                mConfig = draft.build(mConfig.version() + 1);
                mWindows.reset("s", mNow);
            }
        }
    }

    private void relayEvidence(int step) {
        if (step % REPORT_INTERVAL_STEPS == 0) {
            mInTransit.add(mCollector.drain());
        }
        if (mInTransit.size() > EVIDENCE_DELAY_STEPS / REPORT_INTERVAL_STEPS) {
            mWindows.add(mInTransit.poll());
        }
    }

    private void simulateCalls(Move move) {
        double mean = mCallsPerSecond * STEP_MILLIS / 1000.0;
        int calls = poisson(mean);
        double share =
                mConfig.sharesAt(mConfig.service("s").orElseThrow(), mNow).get("v2")
                        / (double) BasisPoints.FULL_SHARE_BPS;
        double sinceDone =
                move.phase() == MovePhase.DONE
                        ? Duration.between(move.endedAt().orElseThrow(), mNow).toMillis() / 1000.0
                        : -1;
        for (int i = 0; i < calls; i++) {
            simulateCall(share, sinceDone);
        }
    }

    private void simulateCall(double share, double sinceDone) {
        boolean toNew = mRandom.nextDouble() < share;
        int route = route(mRandom.nextDouble());
        if (toNew && mFirstCallSecond < 0) {
            mFirstCallSecond = elapsedSeconds();
        }
        double sinceStart = mFirstCallSecond < 0 ? 0 : elapsedSeconds() - mFirstCallSecond;
        VersionModel.CallContext context =
                new VersionModel.CallContext(sinceStart, sinceDone, share, route);
        double failureShare =
                OLD_VERSION_FAILURE_SHARE + mVersionModel.bothVersionsFailureShare(context);
        double millis = SERVICE_MILLIS * Math.exp(LATENCY_SIGMA * mRandom.nextGaussian());
        boolean cold = false;
        if (toNew) {
            double extra = mVersionModel.failureShare(context);
            double factor = mVersionModel.latencyFactor(context);
            boolean faulty = mVersionModel.isBad() && (extra > 0 || factor > 1);
            failureShare += extra;
            millis *= factor;
            // The admission gate reports a cold start for only part of its length, here about two
            // thirds: 7 of 10 seconds.
            cold = !mVersionModel.isBad() && factor > 1 && sinceStart < 7;
            if (faulty) {
                mBadCalls++;
                mFirstBadCallSecond =
                        mFirstBadCallSecond < 0 ? elapsedSeconds() : mFirstBadCallSecond;
            }
        }
        mCallsSinceFault += mFirstBadCallSecond >= 0 ? 1 : 0;
        boolean failed = mRandom.nextDouble() < failureShare;
        EvidenceKey key = new EvidenceKey("s", toNew ? "v2" : "v1", "r" + route);
        mCollector.addCall(key, failed, cold, (long) (millis * 1000));
    }

    /** Returns the index of the route for a uniform random number from 0 to 1. */
    private static int route(double quantile) {
        double sum = 0;
        for (int i = 0; i < ROUTE_SHARES.length; i++) {
            sum += ROUTE_SHARES[i];
            if (quantile < sum) {
                return i;
            }
        }
        return ROUTE_SHARES.length - 1;
    }

    /** Draws from a Poisson distribution by Knuth's method, which suits small means. */
    private int poisson(double mean) {
        double limit = Math.exp(-mean);
        double product = mRandom.nextDouble();
        int count = 0;
        while (product > limit) {
            product *= mRandom.nextDouble();
            count++;
        }
        return count;
    }
}
