package org.oriolewind.rollout;

import java.util.Optional;
import org.oriolewind.config.MoveEvidence;

/**
 * The next change of a move. Immutable.
 *
 * @param action what to do
 * @param shareBps the share to permit, in basis points; 0 for other actions
 * @param evidence the counts behind the decision
 * @param reason why the move is late, for {@code MARK_LATE}
 */
public record MoveDecision(
        Action action, int shareBps, Optional<MoveEvidence> evidence, String reason) {
    /** What can be done with a move. */
    public enum Action {
        /** Leave the share as it is. */
        HOLD,
        /** Permit a larger share. */
        PERMIT,
        /** The target is reached and proved. */
        FINISH,
        /** The version is bad; take its traffic away. */
        TAKE_BACK,
        /** The deadline has passed; say why. */
        MARK_LATE
    }

    /** Leaves the share as it is. */
    public static final MoveDecision HOLD = new MoveDecision(Action.HOLD, 0, Optional.empty(), "");

    static MoveDecision permit(int shareBps, Optional<MoveEvidence> evidence) {
        return new MoveDecision(Action.PERMIT, shareBps, evidence, "");
    }

    static MoveDecision end(Action action, MoveEvidence evidence) {
        return new MoveDecision(action, 0, Optional.of(evidence), "");
    }

    static MoveDecision late(MoveEvidence evidence) {
        return new MoveDecision(Action.MARK_LATE, 0, Optional.of(evidence), evidence.reason());
    }
}
