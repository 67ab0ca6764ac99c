package org.oriolewind.analysis;

import java.time.Instant;
import org.oriolewind.config.ConfigEdit;
import org.oriolewind.config.ConfigEntries;
import org.oriolewind.config.MeshConfig;
import org.oriolewind.config.Move;
import org.oriolewind.config.MovePhase;

/**
 * Writes a decision about a move into the configuration. It takes effect only if the move is still
 * at the stage for which the decision was made and no leader of a later term has written a decision
 * since. Immutable.
 *
 * @param moveId the move's ID
 * @param stage the move's stage when the decision was made
 * @param term the term of the leader that decided
 * @param decision the decision, not {@code HOLD}
 */
public record MoveEdit(String moveId, int stage, long term, MoveDecision decision)
        implements ConfigEdit {
    @Override
    public boolean apply(MeshConfig current, ConfigEntries draft, Instant now) {
        Move move = current.moves().get(moveId);
        boolean monitored =
                move != null
                        && current.monitoredMove(move.service(), now)
                                .filter(move::equals)
                                .isPresent();
        if (!monitored || move.stage() != stage) {
            return false;
        }
        if (current.rolloutTerm() > term) {
            return false;
        }
        draft.setRolloutTerm(term);
        Move next = change(move, now);
        draft.moves().put(moveId, next);
        if (next.phase() == MovePhase.DONE
                || next.phase() == MovePhase.TAKEN_BACK && move.phase() == MovePhase.DONE) {
            draft.services()
                    .computeIfPresent(move.service(), (name, service) -> service.with(next, now));
        }
        return true;
    }

    private Move change(Move move, Instant now) {
        return switch (decision.action()) {
            case PERMIT ->
                    move.permit(
                            decision.shareBps(), decision.evidence(), decision.baselines(), now);
            case FINISH -> move.end(MovePhase.DONE, decision.evidence(), now);
            case TAKE_BACK -> move.end(MovePhase.TAKEN_BACK, decision.evidence(), now);
            case MARK_LATE -> move.withLateReason(decision.reason());
            case HOLD, RESTART_WINDOW -> move;
        };
    }
}
