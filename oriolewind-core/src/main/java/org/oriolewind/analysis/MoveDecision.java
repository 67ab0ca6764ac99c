package org.oriolewind.analysis;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.oriolewind.config.MoveEvidence;
import org.oriolewind.config.RouteBaseline;

/**
 * Decision about the next step of a move. Immutable.
 *
 * @param action the kind of the step
 * @param shareBps the share to permit, in basis points; 0 for actions other than {@code PERMIT}
 * @param evidence the counts behind the decision, empty for the first share and where nothing is
 *     written
 * @param reason why the deadline was missed, for {@code MARK_LATE}; otherwise empty
 * @param baselines counts of the old version so far, for {@code PERMIT}; otherwise empty
 * @param restartRoutes the routes whose counts are dropped, for {@code RESTART_WINDOW}; empty for
 *     all routes
 */
public record MoveDecision(
        Action action,
        int shareBps,
        Optional<MoveEvidence> evidence,
        String reason,
        List<RouteBaseline> baselines,
        Set<String> restartRoutes) {
    /** The possible steps of a move. */
    public enum Action {
        /** Keep the share, because the evidence is not sufficient. */
        HOLD,
        /** Permit a larger share. */
        PERMIT,
        /** End the move: the target share is reached and the new version is good. */
        FINISH,
        /** Roll the move back: the new version is bad and loses its traffic. */
        TAKE_BACK,
        /** Record why the deadline was missed. The move continues. */
        MARK_LATE,
        /** Drop the counts so far and start again; nothing is written. */
        RESTART_WINDOW
    }

    /** Keeps the share. */
    public static final MoveDecision HOLD =
            new MoveDecision(Action.HOLD, 0, Optional.empty(), "", List.of(), Set.of());

    /** Drops the counts of all routes and starts a new window. */
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

    static MoveDecision markLate(MoveEvidence evidence, String reason) {
        return new MoveDecision(
                Action.MARK_LATE, 0, Optional.of(evidence), reason, List.of(), Set.of());
    }

    /**
     * Returns whether the decision has to be written to the configuration.
     *
     * @return false for {@code HOLD} and {@code RESTART_WINDOW}
     */
    public boolean changesConfig() {
        return action != Action.HOLD && action != Action.RESTART_WINDOW;
    }
}
