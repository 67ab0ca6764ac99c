package org.oriolewind.config;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/**
 * A move and how far it is. The share at an instant is a function of this record and the clock
 * alone, so that all nodes compute the same one. Immutable.
 *
 * <p>Invariant: {@code permittedBps} is at most {@code targetBps}.
 *
 * @param id the move's name, made of the note's id and its place in the note
 * @param note the note's id
 * @param service the service's name
 * @param from the version that gives up traffic
 * @param to the version that takes it
 * @param baseBps the share of {@code to} before the move, in basis points
 * @param targetBps the share of {@code to} in the end, in basis points
 * @param createdAt when the note was accepted
 * @param by the deadline
 * @param phase how far the move is
 * @param stage the number of permits so far
 * @param previousBps the share before the latest permit, in basis points
 * @param permittedBps the share of the latest permit, in basis points
 * @param grantedAt when the latest permit was given
 * @param evidence the counts behind the latest decision
 * @param lateReason why the move missed its deadline
 * @param endedAt when the move was done, taken back or superseded
 * @param baselines what the old version did before the latest permit, by route
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
    /** Time over which a permitted step takes effect, so that cold gates can open. */
    public static final Duration RAMP = Duration.ofMillis(1500);

    /** Time after the end for which a new version is still watched and may be taken back. */
    public static final Duration GUARD = Duration.ofMinutes(10);

    /** Copies the list. */
    public Move {
        baselines = List.copyOf(baselines);
    }

    /**
     * Creates a move that has no permit yet.
     *
     * @param note the note's id
     * @param index the move's place in the note
     * @param planned the move as the note has it
     * @param baseBps the share of the new version at present, in basis points
     * @param now the present
     * @return the move
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
     * @param now the present
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
     * Returns whether the move has ended well, but so lately that the new version is still watched.
     *
     * @param now the present
     * @return true if a fault still takes the version back
     */
    public boolean isMonitored(Instant now) {
        return phase == MovePhase.DONE
                && endedAt.filter(end -> now.isBefore(end.plus(GUARD))).isPresent();
    }

    /**
     * Returns a copy with a larger share permitted.
     *
     * @param shareBps the share, in basis points
     * @param reason the counts behind it, empty for the first step
     * @param oldCounts what the old version did until now, by route
     * @param now the present
     * @return the copy
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
     * @param end the last phase
     * @param reason the counts behind it
     * @param now the present
     * @return the copy
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
     * Returns a copy that says why the deadline was missed.
     *
     * @param reason the reason, for a person
     * @return the copy
     */
    public Move late(String reason) {
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
