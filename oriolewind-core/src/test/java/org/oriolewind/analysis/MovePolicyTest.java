package org.oriolewind.analysis;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.oriolewind.config.MeshConfig;
import org.oriolewind.config.Move;
import org.oriolewind.config.MovePhase;
import org.oriolewind.config.TestNotes;
import org.oriolewind.time.FakeClock;

class MovePolicyTest {
    private static final Instant START = new FakeClock().instant();
    private static final long FAST_MICROS = 5000;
    private static final long SLOW_MICROS = 80_000;

    private final MovePolicy mPolicy =
            new MovePolicy(new VersionEvaluator(ProportionRule.SEQUENTIAL_RATIO));
    private Move mWaiting;

    @BeforeEach
    void publishMove() throws Exception {
        MeshConfig config =
                TestNotes.config(
                        START, TestNotes.BASE, TestNotes.move("m", START.plusSeconds(120)));
        mWaiting = config.activeMove("holders").orElseThrow();
    }

    private static EvidenceTotals totals(int calls, int failures, int slow) {
        EvidenceTotals totals = new EvidenceTotals();
        for (int i = 0; i < calls; i++) {
            totals.addCall(i < failures, false, i < slow ? SLOW_MICROS : FAST_MICROS);
        }
        return totals;
    }

    private static Map<String, EvidencePair> pairs(
            EvidenceTotals oldTotals, EvidenceTotals newTotals) {
        return Map.of("lookup", new EvidencePair(oldTotals, newTotals));
    }

    private Move moving(int shareBps) {
        return mWaiting.permit(shareBps, Optional.empty(), List.of(), START);
    }

    /** Decides in a window that began once the share of the latest permit had settled. */
    private MoveDecision decide(
            Move move, EvidenceTotals oldTotals, EvidenceTotals newTotals, int seconds) {
        Instant steady = START.plus(MovePolicy.SETTLE);
        return mPolicy.decide(
                move, pairs(oldTotals, newTotals), steady, START.plusSeconds(seconds));
    }

    @ParameterizedTest
    @CsvSource({"1000000, 100", "3000, 100", "900, 100", "90, 1000", "9, 1000", "0, 1000"})
    void firstShareIsSizedForAVerdictWithinBounds(int callsSeen, int expectedBps) {
        MoveDecision decision =
                mPolicy.decide(
                        mWaiting,
                        pairs(totals(callsSeen, 0, 0), totals(0, 0, 0)),
                        START,
                        START.plus(Duration.ofSeconds(3)));
        assertEquals(MoveDecision.Action.PERMIT, decision.action());
        int share = decision.shareBps();
        assertTrue(share >= MovePolicy.MIN_FIRST_STEP_BPS, "share " + share);
        assertTrue(share <= MovePolicy.MAX_FIRST_STEP_BPS, "share " + share);
        if (callsSeen > 1000 || callsSeen < 100) {
            assertEquals(expectedBps, share, 100);
        }
    }

    @Test
    void absenceOfCallsIsNoEvidence() {
        MoveDecision decision = decide(moving(500), totals(1000, 0, 0), totals(0, 0, 0), 60);
        assertEquals(MoveDecision.HOLD, decision);
    }

    @Test
    void missedDeadlineIsRecordedWithItsReason() {
        MoveDecision decision = decide(moving(500), totals(1000, 0, 0), totals(3, 0, 0), 121);
        assertEquals(MoveDecision.Action.MARK_LATE, decision.action());
        assertEquals("too few calls for a verdict", decision.reason());
        Move late = moving(500).withLateReason(decision.reason());
        assertEquals(MoveDecision.HOLD, decide(late, totals(9, 0, 0), totals(3, 0, 0), 122));
    }

    @Test
    void goodEvidenceTriplesTheShareAndEndsAtTheTarget() {
        MoveDecision next = decide(moving(500), totals(1000, 2, 20), totals(200, 0, 4), 20);
        assertEquals(MoveDecision.Action.PERMIT, next.action());
        assertEquals(1500, next.shareBps());
        MoveDecision last = decide(moving(10_000), totals(100, 0, 2), totals(900, 1, 18), 40);
        assertEquals(MoveDecision.Action.FINISH, last.action());
    }

    @ParameterizedTest
    @CsvSource({"4, 4, 0", "30, 10, 0", "100, 25, 0", "40, 0, 40", "60, 0, 40"})
    void badEvidenceRollsBack(int calls, int failures, int slow) {
        MoveDecision decision =
                decide(moving(1000), totals(2000, 4, 40), totals(calls, failures, slow), 50);
        assertEquals(MoveDecision.Action.TAKE_BACK, decision.action());
    }

    @Test
    void oneBadRouteAmongGoodOnesRollsBack() {
        Map<String, EvidencePair> pairs =
                Map.of(
                        "lookup", new EvidencePair(totals(2000, 0, 0), totals(400, 0, 0)),
                        "print", new EvidencePair(totals(50, 0, 0), totals(6, 6, 0)));
        Instant steady = START.plus(MovePolicy.SETTLE);
        MoveDecision decision = mPolicy.decide(moving(1000), pairs, steady, START.plusSeconds(40));
        assertEquals(MoveDecision.Action.TAKE_BACK, decision.action());
        assertEquals("print", decision.evidence().orElseThrow().route());
    }

    @Test
    void problemOfBothVersionsDoesNotRollBack() {
        MoveDecision decision = decide(moving(1000), totals(2000, 400, 40), totals(200, 42, 4), 40);
        assertTrue(decision.action() != MoveDecision.Action.TAKE_BACK, decision::toString);
    }

    @Test
    void slownessDuringWarmUpKeepsTheShareAndRestartsTheWindow() {
        EvidenceTotals oldTotals = totals(2000, 4, 40);
        assertEquals(
                MoveDecision.Action.RESTART_WINDOW,
                decide(moving(300), oldTotals, totals(40, 0, 40), 10).action());
        assertEquals(
                MoveDecision.Action.TAKE_BACK,
                decide(moving(300), oldTotals, totals(40, 0, 40), 31).action());
        assertEquals(
                MoveDecision.Action.TAKE_BACK,
                decide(moving(300), oldTotals, totals(10, 10, 0), 10).action());
    }

    @Test
    void refusalsUnderLoadHoldTheShare() {
        EvidenceTotals newTotals = totals(300, 0, 0);
        for (int i = 0; i < 100; i++) {
            newTotals.addRefusal();
        }
        assertEquals(MoveDecision.HOLD, decide(moving(1000), totals(1000, 0, 0), newTotals, 40));
        MoveDecision late = decide(moving(1000), totals(1000, 0, 0), newTotals, 130);
        assertEquals("the new version refuses more calls than the old one", late.reason());
    }

    @Test
    void callsDuringTheRampAreNoGoodEvidence() {
        EvidenceTotals oldTotals = totals(1000, 0, 0);
        EvidenceTotals newTotals = totals(300, 0, 0);
        Instant early = START.plusMillis(1000);
        assertEquals(
                MoveDecision.HOLD,
                mPolicy.decide(moving(500), pairs(oldTotals, newTotals), START, early));
        Instant settled = START.plus(MovePolicy.SETTLE);
        assertEquals(
                MoveDecision.Action.RESTART_WINDOW,
                mPolicy.decide(moving(500), pairs(oldTotals, newTotals), START, settled).action());
    }

    @Test
    void versionThatBecomesBadAfterTheEndIsRolledBack() {
        List<org.oriolewind.config.RouteBaseline> baselines =
                VersionEvaluator.baselines(pairs(totals(2000, 4, 40), totals(0, 0, 0)), List.of());
        Move done =
                mWaiting.permit(10_000, Optional.empty(), baselines, START)
                        .end(MovePhase.DONE, Optional.empty(), START.plusSeconds(60));
        Instant window = START.plusSeconds(60);
        MoveDecision good =
                mPolicy.decide(
                        done,
                        pairs(totals(0, 0, 0), totals(300, 0, 6)),
                        window,
                        START.plusSeconds(70));
        assertEquals(MoveDecision.Action.RESTART_WINDOW, good.action());
        MoveDecision bad =
                mPolicy.decide(
                        done,
                        pairs(totals(0, 0, 0), totals(20, 15, 0)),
                        window,
                        START.plusSeconds(200));
        assertEquals(MoveDecision.Action.TAKE_BACK, bad.action());
    }
}
