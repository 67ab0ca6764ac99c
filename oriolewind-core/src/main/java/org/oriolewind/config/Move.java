package org.oriolewind.config;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/**
 * A move of traffic between two versions and its progress. The share at an instant depends only on
 * this record and the clock, so that all nodes compute the same share. Immutable.
 *
 * <p>Invariant: {@code permittedBps} is at most {@code targetBps}.
 *
 * @param id the move's ID, made of the note's ID and the index in the note
 * @param note the note's ID
 * @param service the service's name
 * @param from the old version, which loses traffic
 * @param to the new version, which gains traffic
 * @param baseBps the share of {@code to} before the move, in basis points
 * @param targetBps the share of {@code to} in the end, in basis points
 * @param createdAt when the note was accepted
 * @param by the deadline
 * @param phase the progress of the move
 * @param stage the number of permits so far
 * @param previousBps the share before the latest permit, in basis points
 * @param permittedBps the share of the latest permit, in basis points
 * @param grantedAt when the latest permit was given
 * @param evidence the counts behind the latest decision
 * @param lateReason why the move missed its deadline
 * @param endedAt when the move was completed, rolled back or superseded
 * @param baselines counts of the old version before the latest permit, by route
 */
public record Move(
        String id,
        String note,
        String service,
        String from,
        String to,
        int baseBps,
        int targetBps,
        Instant createdAt,
        Instant by,
        MovePhase phase,
        int stage,
        int previousBps,
        int permittedBps,
        Instant grantedAt,
        Optional<MoveEvidence> evidence,
        Optional<String> lateReason,
        Optional<Instant> endedAt,
        List<RouteBaseline> baselines) {
    /**
     * Time over which a permitted share takes effect, so that the limits of cold admission gates
     * can rise.
     */
    public static final Duration RAMP = Duration.ofMillis(1500);

    /** Time after its end for which a move is still monitored and may be rolled back. */
    public static final Duration MONITORING_PERIOD = Duration.ofMinutes(10);

    /** Copies the list of baselines. */
    public Move {
        baselines = List.copyOf(baselines);
    }

    /**
     * Creates a move without a permitted share.
     *
     * @param note the note's ID
     * @param planned the move as the note specifies it
     * @param baseBps the current share of the new version, in basis points
     */
    static Move planned(
            String note, int index, ReleaseNote.PlannedMove planned, int baseBps, Instant now) {
        return new Move(
                note + "#" + index,
                note,
                planned.service(),
                planned.from(),
                planned.to(),
                baseBps,
                BasisPoints.fromPercent(planned.share()),
                now,
                planned.by(),
                MovePhase.WAITING,
                0,
                baseBps,
                baseBps,
                now,
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                List.of());
    }

    /**
     * Returns the share of the new version.
     *
     * @return the share in basis points
     */
    public int shareAt(Instant now) {
        return switch (phase) {
            case WAITING, TAKEN_BACK -> baseBps;
            case DONE, SUPERSEDED -> permittedBps;
            case MOVING -> rampedShare(now);
        };
    }

    private int rampedShare(Instant now) {
        long sinceMillis = Duration.between(grantedAt, now).toMillis();
        long passedMillis = Math.max(0, Math.min(sinceMillis, RAMP.toMillis()));
        long step = permittedBps - previousBps;
        return (int) (previousBps + step * passedMillis / RAMP.toMillis());
    }

    /**
     * Returns whether the move was completed less than {@link #MONITORING_PERIOD} ago.
     *
     * @return true if a fault of the new version still rolls the move back
     */
    public boolean isMonitored(Instant now) {
        return phase == MovePhase.DONE
                && endedAt.filter(end -> now.isBefore(end.plus(MONITORING_PERIOD))).isPresent();
    }

    /**
     * Returns a copy with a larger share permitted.
     *
     * @param shareBps the share, in basis points
     * @param reason the counts behind the step, empty for the first one
     * @param oldCounts counts of the old version so far, by route
     */
    public Move permit(
            int shareBps,
            Optional<MoveEvidence> reason,
            List<RouteBaseline> oldCounts,
            Instant now) {
        return copy(
                MovePhase.MOVING,
                stage + 1,
                permittedBps,
                shareBps,
                now,
                reason,
                lateReason,
                endedAt,
                oldCounts);
    }

    /**
     * Returns a copy that has ended.
     *
     * @param end the final phase
     * @param reason the counts behind the end
     */
    public Move end(MovePhase end, Optional<MoveEvidence> reason, Instant now) {
        return copy(
                end,
                stage,
                previousBps,
                permittedBps,
                grantedAt,
                reason,
                lateReason,
                Optional.of(now),
                baselines);
    }

    /**
     * Returns a copy with the reason why the deadline was missed.
     *
     * @param reason the reason, for a person
     */
    public Move withLateReason(String reason) {
        return copy(
                phase,
                stage,
                previousBps,
                permittedBps,
                grantedAt,
                evidence,
                Optional.of(reason),
                endedAt,
                baselines);
    }

    private Move copy(
            MovePhase newPhase,
            int newStage,
            int newPreviousBps,
            int newPermittedBps,
            Instant newGrantedAt,
            Optional<MoveEvidence> newEvidence,
            Optional<String> newLateReason,
            Optional<Instant> newEndedAt,
            List<RouteBaseline> newBaselines) {
        return new Move(
                id,
                note,
                service,
                from,
                to,
                baseBps,
                targetBps,
                createdAt,
                by,
                newPhase,
                newStage,
                newPreviousBps,
                newPermittedBps,
                newGrantedAt,
                newEvidence,
                newLateReason,
                newEndedAt,
                newBaselines);
    }
}
