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
 * Decides each step of a move. The first share is as large as a verdict before the deadline needs
 * and no larger; it grows each time the evidence of the current step is good. A deadline never
 * replaces evidence, and no calls are no evidence. After the end the new version stays under watch.
 * Stateless and safe for use by several threads.
 */
public final class MovePolicy {
    /** Bounds of the first share of a new version, in basis points. */
    static final int MIN_FIRST_STEP_BPS = 100;

    static final int MAX_FIRST_STEP_BPS = 1000;

    /** Time for which the service's traffic is counted before the first share is chosen. */
    static final Duration OBSERVATION = Duration.ofMillis(1500);

    /** Time from a permit until the shares stand still and calls from before are reported. */
    static final Duration SETTLE = Move.RAMP.plusMillis(1000);

    /** Longest time for which a new version may be slow on its first share. */
    static final Duration MAX_WARM_UP = Duration.ofSeconds(30);

    /** Calls that a verdict takes, as a rule. */
    private static final int CALLS_PER_VERDICT = 120;

    /** Steps from the first share to the whole traffic, as a rule. */
    private static final int STEPS = 5;

    private static final int GROWTH_FACTOR = 3;
    private static final int MAX_GROWTH_FACTOR = 8;

    /** Time that a step takes where traffic is plenty. */
    private static final Duration STEP_TIME = SETTLE.plusMillis(1500);

    /** Share of refused calls over the old version's beyond which the share does not grow. */
    private static final double REFUSAL_HARM = 0.1;

    private final VersionEvaluator mJudge;

    /**
     * Creates a policy.
     *
     * @param judge judges versions
     */
    public MovePolicy(VersionEvaluator judge) {
        mJudge = judge;
    }

    /**
     * Decides.
     *
     * @param move the move, in progress or under watch
     * @param pairs the evidence of the current window by route
     * @param windowStart when the current window began
     * @param now the present
     * @return the decision
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
        Confidence certainty = comparable ? Confidence.NORMAL : Confidence.HIGH;
        VersionEvaluation judgement = mJudge.judge(pairs, move.baselines(), certainty);
        if (judgement.verdict() == Verdict.BAD && judgement.slowOnly() && isWarmingUp(move, now)) {
            // Slow because it has just started, perhaps: it keeps its small share and is counted
            // anew.
            return MoveDecision.RESTART_WINDOW;
        }
        boolean shifting = !comparable && move.phase() == MovePhase.MOVING;
        boolean bad = judgement.verdict() == Verdict.BAD;
        // While the share shifts, the versions' calls are not of the same time, and trouble of both
        // may look like a fault of one.
        if (bad && (!shifting || isGross(judgement.evidence()))) {
            return MoveDecision.end(MoveDecision.Action.TAKE_BACK, judgement.evidence());
        }
        if (steady && !restarted) {
            return MoveDecision.RESTART_WINDOW;
        }
        if (move.phase() == MovePhase.DONE) {
            // Good calls of the past must not outweigh a fault that begins now.
            boolean someGood = !judgement.goodRoutes().isEmpty();
            return someGood ? MoveDecision.restart(judgement.goodRoutes()) : MoveDecision.HOLD;
        }
        return steady ? decideNext(move, pairs, judgement, now) : MoveDecision.HOLD;
    }

    /**
     * A new version is given a part of the time to its deadline to get warm, on its first share.
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
                Math.max(1, Duration.between(now, move.by()).toMillis() / 1000.0 / STEPS);
        double share = CALLS_PER_VERDICT / Math.max(0.001, perSecond * secondsPerStep);
        int stepBps = (int) Math.min(MAX_FIRST_STEP_BPS, share * BasisPoints.WHOLE_BPS);
        int first = move.baseBps() + Math.max(MIN_FIRST_STEP_BPS, stepBps);
        return MoveDecision.permit(
                Math.min(move.targetBps(), first),
                Optional.empty(),
                VersionEvaluator.baselines(pairs, List.of()));
    }

    private static MoveDecision decideNext(
            Move move, Map<String, EvidencePair> pairs, VersionEvaluation judgement, Instant now) {
        boolean refuses = refusesMore(pairs);
        boolean last = move.permittedBps() >= move.targetBps();
        if (last && judgement.verdict() == Verdict.GOOD && !refuses) {
            return MoveDecision.end(MoveDecision.Action.FINISH, judgement.evidence());
        }
        if (!last && judgement.pooled() == Verdict.GOOD && !refuses) {
            return MoveDecision.permit(
                    nextShare(move, now),
                    Optional.of(judgement.evidence()),
                    VersionEvaluator.baselines(pairs, move.baselines()));
        }
        if (now.isAfter(move.by()) && move.lateReason().isEmpty()) {
            String reason =
                    refuses
                            ? "the new version refuses more calls than the old one"
                            : judgement.evidence().reason();
            return MoveDecision.late(judgement.evidence(), reason);
        }
        return MoveDecision.HOLD;
    }

    /** Grows by the usual factor, or by more if the deadline leaves time for few steps only. */
    private static int nextShare(Move move, Instant now) {
        int gained = Math.max(MIN_FIRST_STEP_BPS, move.permittedBps() - move.baseBps());
        long stepsLeft = Duration.between(now, move.by()).dividedBy(STEP_TIME) - 1;
        double wanted = (double) (move.targetBps() - move.baseBps()) / gained;
        double factor = Math.pow(wanted, 1.0 / Math.max(1, stepsLeft));
        double bounded = Math.max(GROWTH_FACTOR, Math.min(MAX_GROWTH_FACTOR, factor));
        return Math.min(move.targetBps(), move.baseBps() + (int) (gained * bounded));
    }

    private static boolean refusesMore(Map<String, EvidencePair> pairs) {
        double newShare = refusedShare(pairs, true);
        return newShare > refusedShare(pairs, false) + REFUSAL_HARM;
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
