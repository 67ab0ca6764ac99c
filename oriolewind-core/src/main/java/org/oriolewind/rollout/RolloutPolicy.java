package org.oriolewind.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import org.oriolewind.config.Move;
import org.oriolewind.config.MovePhase;

/**
 * Decides each step of a move. The share starts small and doubles, or more if the deadline is near,
 * each time the evidence of the current step is good; a deadline never replaces evidence. Stateless
 * and safe for use by several threads.
 */
public final class RolloutPolicy {
    /** The first share of a new version, in basis points. */
    public static final int FIRST_STEP_BPS = 500;

    /** Shortest time on a step: the ramp, and time for calls at the full step to be reported. */
    static final Duration MIN_DWELL = Move.RAMP.plusMillis(500);

    private static final int GROWTH_FACTOR = 3;

    private final VersionJudge mJudge;

    /**
     * Creates a policy.
     *
     * @param judge judges versions
     */
    public RolloutPolicy(VersionJudge judge) {
        mJudge = judge;
    }

    /**
     * Decides.
     *
     * @param move the move, in progress
     * @param pairs the evidence of the current step by route
     * @param now the present
     * @return the decision
     */
    public MoveDecision decide(Move move, Map<String, EvidencePair> pairs, Instant now) {
        if (move.phase() == MovePhase.WAITING) {
            int first = Math.min(move.targetBps(), move.baseBps() + FIRST_STEP_BPS);
            return MoveDecision.permit(first, Optional.empty());
        }
        Judgement judgement = mJudge.judge(pairs);
        if (judgement.verdict() == Verdict.BAD) {
            return MoveDecision.end(MoveDecision.Action.TAKE_BACK, judgement.evidence());
        }
        boolean dwelt = !now.isBefore(move.grantedAt().plus(MIN_DWELL));
        if (judgement.verdict() == Verdict.GOOD && dwelt) {
            if (move.permittedBps() >= move.targetBps()) {
                return MoveDecision.end(MoveDecision.Action.FINISH, judgement.evidence());
            }
            return MoveDecision.permit(nextShare(move), Optional.of(judgement.evidence()));
        }
        if (now.isAfter(move.by()) && move.lateReason().isEmpty()) {
            return MoveDecision.late(judgement.evidence());
        }
        return MoveDecision.HOLD;
    }

    private static int nextShare(Move move) {
        int gained = Math.max(FIRST_STEP_BPS, move.permittedBps() - move.baseBps());
        int next = move.baseBps() + gained * GROWTH_FACTOR;
        return Math.min(move.targetBps(), next);
    }
}
