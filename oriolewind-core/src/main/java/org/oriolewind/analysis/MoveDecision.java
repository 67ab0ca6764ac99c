package org.oriolewind.analysis;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.oriolewind.config.MoveEvidence;
import org.oriolewind.config.RouteBaseline;

/**
 * The next change of a move. Immutable.
 *
 * @param action what to do
 * @param shareBps the share to permit, in basis points; 0 for other actions
 * @param evidence the counts behind the decision
 * @param reason why the move is late, for {@code MARK_LATE}
 * @param baselines what the old version did until now, for {@code PERMIT}
 * @param restartRoutes the routes to count anew, for {@code RESTART_WINDOW}; empty for all
 */
public record MoveDecision(
        Action action,
        int shareBps,
        Optional<MoveEvidence> evidence,
        String reason,
        List<RouteBaseline> baselines,
        Set<String> restartRoutes) {
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
        MARK_LATE,
        /** The watched version is good so far; count anew, write nothing. */
        RESTART_WINDOW
    }

    /** Leaves the share as it is. */
    public static final MoveDecision HOLD =
            new MoveDecision(Action.HOLD, 0, Optional.empty(), "", List.of(), Set.of());

    /** Counts anew. */
    static final MoveDecision RESTART_WINDOW =
            new MoveDecision(Action.RESTART_WINDOW, 0, Optional.empty(), "", List.of(), Set.of());

    static MoveDecision restart(Set<String> routes) {
        return new MoveDecision(Action.RESTART_WINDOW, 0, Optional.empty(), "", List.of(), routes);
    }

    static MoveDecision permit(
            int shareBps, Optional<MoveEvidence> evidence, List<RouteBaseline> baselines) {
        return new MoveDecision(Action.PERMIT, shareBps, evidence, "", baselines, Set.of());
    }

    static MoveDecision end(Action action, MoveEvidence evidence) {
        return new MoveDecision(action, 0, Optional.of(evidence), "", List.of(), Set.of());
    }

    static MoveDecision late(MoveEvidence evidence, String reason) {
        return new MoveDecision(
                Action.MARK_LATE, 0, Optional.of(evidence), reason, List.of(), Set.of());
    }

    /**
     * Returns whether the decision changes the configuration.
     *
     * @return true if it has to be written
     */
    public boolean changesConfig() {
        return action != Action.HOLD && action != Action.RESTART_WINDOW;
    }
}
