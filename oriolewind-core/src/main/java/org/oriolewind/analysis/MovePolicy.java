package org.oriolewind.analysis;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.oriolewind.config.BasisPoints;
import org.oriolewind.config.Move;
import org.oriolewind.config.MoveEvidence;
import org.oriolewind.config.MovePhase;

/**
 * Decides each step of a move. The first share is no larger than needed for a verdict before the
 * deadline; it grows each time the evidence of the current step is good. A deadline never replaces
 * evidence, and the absence of calls is not evidence. After its end a move is monitored for some
 * time and can still be rolled back. Stateless and thread-safe.
 */
public final class MovePolicy {
    /** Bounds of the first share of a new version, in basis points. */
    static final int MIN_FIRST_STEP_BPS = 100;

    static final int MAX_FIRST_STEP_BPS = 1000;

    /** Time for which the service's traffic is counted before the first share is chosen. */
    static final Duration OBSERVATION = Duration.ofMillis(1500);

    /**
     * Time from a permit until the shares no longer change and the calls from before are reported.
     */
    static final Duration SETTLE = Move.RAMP.plusMillis(1000);

    /** Longest time after the first permit for which a new version may be slow. */
    static final Duration MAX_WARM_UP = Duration.ofSeconds(30);

    /** Typical number of calls needed for a verdict, which sizes the first share. */
    private static final int TYPICAL_CALLS_PER_VERDICT = 120;

    /** Typical number of steps from the first share to all traffic. */
    private static final int TYPICAL_STEPS = 5;

    private static final int GROWTH_FACTOR = 3;
    private static final int MAX_GROWTH_FACTOR = 8;

    /** Duration of a step if calls are frequent enough for a verdict within 1.5 s. */
    private static final Duration FAST_STEP_DURATION = SETTLE.plusMillis(1500);

    /** Excess of the share of refused calls over the old version's that stops the growth. */
    private static final double MAX_REFUSAL_EXCESS = 0.1;

    private final VersionEvaluator mEvaluator;

    /**
     * Creates a policy.
     *
     * @param evaluator compares the new version with the old one
     */
    public MovePolicy(VersionEvaluator evaluator) {
        mEvaluator = evaluator;
    }

    /**
     * Decides the next step of a move.
     *
     * @param move the move, in progress or monitored after its end
     * @param pairs the evidence of the current window by route
     * @param windowStart when the current window began
     * @return the decision; {@code HOLD} while the evidence is not sufficient
     */
    public MoveDecision decide(
            Move move, Map<String, EvidencePair> pairs, Instant windowStart, Instant now) {
        if (move.phase() == MovePhase.WAITING) {
            return decideFirst(move, pairs, now);
        }
        Instant steadyAt = move.grantedAt().plus(SETTLE);
        boolean steady = !now.isBefore(steadyAt);
        boolean restarted = !windowStart.isBefore(steadyAt);
        boolean comparable = steady && restarted && move.phase() == MovePhase.MOVING;
        Confidence confidence = comparable ? Confidence.NORMAL : Confidence.HIGH;
        VersionEvaluation evaluation = mEvaluator.evaluate(pairs, move.baselines(), confidence);
        if (evaluation.verdict() == Verdict.BAD
                && evaluation.slowOnly()
                && isWarmingUp(move, now)) {
            // The new version may be slow because it has just started: keep the small share and
            // count again.
            return MoveDecision.RESTART_WINDOW;
        }
        boolean ramping = !comparable && move.phase() == MovePhase.MOVING;
        boolean bad = evaluation.verdict() == Verdict.BAD;
        // While the share changes, the calls of the two versions are from different times, and a
        // problem of both may look like a fault of one: only a gross fault counts.
        if (bad && (!ramping || isGross(evaluation.evidence()))) {
            return MoveDecision.end(MoveDecision.Action.TAKE_BACK, evaluation.evidence());
        }
        if (steady && !restarted) {
            return MoveDecision.RESTART_WINDOW;
        }
        if (move.phase() == MovePhase.DONE) {
            // Earlier good calls must not outweigh a fault that begins now.
            boolean someGood = !evaluation.goodRoutes().isEmpty();
            return someGood ? MoveDecision.restart(evaluation.goodRoutes()) : MoveDecision.HOLD;
        }
        return steady ? decideNext(move, pairs, evaluation, now) : MoveDecision.HOLD;
    }

    /**
     * Returns whether the new version may still be slow on its first share: after the permit, for a
     * quarter of the time from the note to the deadline, but at most {@link #MAX_WARM_UP}.
     */
    private static boolean isWarmingUp(Move move, Instant now) {
        Duration quarter = Duration.between(move.createdAt(), move.by()).dividedBy(4);
        Duration warmUp = quarter.compareTo(MAX_WARM_UP) < 0 ? quarter : MAX_WARM_UP;
        return move.stage() == 1 && now.isBefore(move.grantedAt().plus(warmUp));
    }

    private static boolean isGross(MoveEvidence evidence) {
        return 2 * Math.max(evidence.newFailures(), evidence.newSlow()) >= evidence.newCalls();
    }

    private MoveDecision decideFirst(Move move, Map<String, EvidencePair> pairs, Instant now) {
        Duration observed = Duration.between(move.createdAt(), now);
        if (observed.compareTo(OBSERVATION) < 0) {
            return MoveDecision.HOLD;
        }
        long calls = pairs.values().stream().mapToLong(p -> p.oldTotals().calls()).sum();
        double perSecond = calls * 1000.0 / observed.toMillis();
        double secondsPerStep =
                Math.max(1, Duration.between(now, move.by()).toMillis() / 1000.0 / TYPICAL_STEPS);
        double share = TYPICAL_CALLS_PER_VERDICT / Math.max(0.001, perSecond * secondsPerStep);
        int stepBps = (int) Math.min(MAX_FIRST_STEP_BPS, share * BasisPoints.FULL_SHARE_BPS);
        int first = move.baseBps() + Math.max(MIN_FIRST_STEP_BPS, stepBps);
        return MoveDecision.permit(
                Math.min(move.targetBps(), first),
                Optional.empty(),
                VersionEvaluator.baselines(pairs, List.of()));
    }

    private static MoveDecision decideNext(
            Move move, Map<String, EvidencePair> pairs, VersionEvaluation evaluation, Instant now) {
        boolean refuses = refusesMore(pairs);
        boolean last = move.permittedBps() >= move.targetBps();
        if (last && evaluation.verdict() == Verdict.GOOD && !refuses) {
            return MoveDecision.end(MoveDecision.Action.FINISH, evaluation.evidence());
        }
        if (!last && evaluation.pooled() == Verdict.GOOD && !refuses) {
            return MoveDecision.permit(
                    nextShare(move, now),
                    Optional.of(evaluation.evidence()),
                    VersionEvaluator.baselines(pairs, move.baselines()));
        }
        if (now.isAfter(move.by()) && move.lateReason().isEmpty()) {
            String reason =
                    refuses
                            ? "the new version refuses more calls than the old one"
                            : evaluation.evidence().reason();
            return MoveDecision.markLate(evaluation.evidence(), reason);
        }
        return MoveDecision.HOLD;
    }

    /**
     * Returns the share of the next step: the gain grows by {@link #GROWTH_FACTOR}, or by more if
     * the deadline leaves time for only a few steps.
     */
    private static int nextShare(Move move, Instant now) {
        int gained = Math.max(MIN_FIRST_STEP_BPS, move.permittedBps() - move.baseBps());
        long stepsLeft = Duration.between(now, move.by()).dividedBy(FAST_STEP_DURATION) - 1;
        double wanted = (double) (move.targetBps() - move.baseBps()) / gained;
        double factor = Math.pow(wanted, 1.0 / Math.max(1, stepsLeft));
        double bounded = Math.max(GROWTH_FACTOR, Math.min(MAX_GROWTH_FACTOR, factor));
        return Math.min(move.targetBps(), move.baseBps() + (int) (gained * bounded));
    }

    private static boolean refusesMore(Map<String, EvidencePair> pairs) {
        double newShare = refusedShare(pairs, true);
        return newShare > refusedShare(pairs, false) + MAX_REFUSAL_EXCESS;
    }

    private static double refusedShare(Map<String, EvidencePair> pairs, boolean ofNew) {
        long refused = 0;
        long all = 0;
        for (EvidencePair pair : pairs.values()) {
            EvidenceTotals totals = ofNew ? pair.newTotals() : pair.oldTotals();
            refused += totals.refusals();
            all += totals.refusals() + totals.calls();
        }
        return all == 0 ? 0 : (double) refused / all;
    }
}
