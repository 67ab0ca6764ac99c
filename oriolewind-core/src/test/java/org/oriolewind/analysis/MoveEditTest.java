package org.oriolewind.analysis;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.oriolewind.config.ConfigEdit;
import org.oriolewind.config.ConfigEntries;
import org.oriolewind.config.MeshConfig;
import org.oriolewind.config.Move;
import org.oriolewind.config.MoveEvidence;
import org.oriolewind.config.MovePhase;
import org.oriolewind.config.TestNotes;
import org.oriolewind.time.FakeClock;

class MoveEditTest {
    private static final Instant NOW = new FakeClock().instant();
    private static final MoveEvidence EVIDENCE =
            new MoveEvidence("lookup", 9, 9, 0, 9, 0, 0, "fails more often than the old version");

    private MeshConfig mConfig;

    @BeforeEach
    void plan() throws Exception {
        mConfig = TestNotes.config(NOW, TestNotes.BASE, TestNotes.move("m", NOW.plusSeconds(60)));
    }

    private static MoveEdit permit(int stage, long term, int shareBps) {
        return new MoveEdit(
                "m#0", stage, term, MoveDecision.permit(shareBps, Optional.empty(), List.of()));
    }

    private static MoveEdit end(int stage, long term, MoveDecision.Action action) {
        return new MoveEdit("m#0", stage, term, MoveDecision.end(action, EVIDENCE));
    }

    private boolean apply(ConfigEdit edit, Instant now) throws Exception {
        ConfigEntries draft = mConfig.edit();
        if (!edit.apply(mConfig, draft, now)) {
            return false;
        }
        mConfig = draft.build(mConfig.version() + 1);
        return true;
    }

    private Move move() {
        return mConfig.moves().get("m#0");
    }

    private int shareOf(String version, Instant now) {
        return mConfig.sharesAt(mConfig.service("holders").orElseThrow(), now).get(version);
    }

    @Test
    void decisionThatWasOvertakenHasNoEffect() throws Exception {
        assertTrue(apply(permit(0, 1, 500), NOW));
        assertFalse(apply(permit(0, 1, 700), NOW), "the same step twice");
        assertFalse(apply(permit(5, 1, 700), NOW), "a step that is not due");
        assertEquals(500, move().permittedBps());
    }

    @Test
    void decisionOfAnEarlierTermHasNoEffect() throws Exception {
        assertTrue(apply(permit(0, 7, 500), NOW));
        assertFalse(apply(permit(1, 6, 1500), NOW));
        assertTrue(apply(permit(1, 8, 1500), NOW));
    }

    @Test
    void takeBackLeavesNothingToTheBadVersionAtOnce() throws Exception {
        apply(permit(0, 1, 500), NOW);
        assertEquals(500, shareOf("v2", NOW.plus(Move.RAMP)));
        apply(end(1, 1, MoveDecision.Action.TAKE_BACK), NOW.plusSeconds(5));
        assertEquals(0, shareOf("v2", NOW.plusSeconds(5)));
        assertEquals(10_000, shareOf("v1", NOW.plusSeconds(5)));
        assertFalse(apply(permit(1, 1, 1500), NOW.plusSeconds(6)), "a take-back is never undone");
        assertFalse(apply(end(1, 1, MoveDecision.Action.TAKE_BACK), NOW.plusSeconds(6)));
    }

    @Test
    void takeBackAfterTheEndGivesTheOldVersionItsShareAgain() throws Exception {
        apply(permit(0, 1, 10_000), NOW);
        apply(end(1, 1, MoveDecision.Action.FINISH), NOW.plusSeconds(5));
        assertEquals(10_000, shareOf("v2", NOW.plusSeconds(5)));
        assertTrue(apply(end(1, 1, MoveDecision.Action.TAKE_BACK), NOW.plusSeconds(60)));
        assertEquals(MovePhase.TAKEN_BACK, move().phase());
        assertEquals(10_000, shareOf("v1", NOW.plusSeconds(60)));
    }

    @Test
    void noTakeBackOnceTheWatchIsOverOrTheOldVersionWithdrawn() throws Exception {
        apply(permit(0, 1, 10_000), NOW);
        apply(end(1, 1, MoveDecision.Action.FINISH), NOW.plusSeconds(5));
        Instant late = NOW.plusSeconds(5).plus(Move.GUARD);
        assertFalse(apply(end(1, 1, MoveDecision.Action.TAKE_BACK), late));
        ConfigEntries draft = mConfig.edit();
        new org.oriolewind.config.NoteEdit(
                        TestNotes.read(
                                """
                                {"id": "w", "versions": {"withdrawn": [
                                 {"service": "holders", "version": "v1"}]}}
                                """))
                .apply(mConfig, draft, NOW.plusSeconds(10));
        mConfig = draft.build(mConfig.version() + 1);
        assertFalse(apply(end(1, 1, MoveDecision.Action.TAKE_BACK), NOW.plusSeconds(11)));
    }

    @Test
    void shareIsTheSameFunctionOfTimeOnEveryNode() throws Exception {
        apply(permit(0, 1, 600), NOW);
        long rampMillis = Move.RAMP.toMillis();
        assertEquals(0, shareOf("v2", NOW.minusSeconds(5)));
        assertEquals(300, shareOf("v2", NOW.plusMillis(rampMillis / 2)));
        assertEquals(600, shareOf("v2", NOW.plusSeconds(100)));
        assertEquals(10_000, shareOf("v1", NOW.plusSeconds(1)) + shareOf("v2", NOW.plusSeconds(1)));
    }
}
