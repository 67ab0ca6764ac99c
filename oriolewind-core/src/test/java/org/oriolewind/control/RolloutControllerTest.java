package org.oriolewind.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.oriolewind.analysis.EvidenceKey;
import org.oriolewind.config.ConfigHead;
import org.oriolewind.config.MeshConfig;
import org.oriolewind.config.Move;
import org.oriolewind.config.MovePhase;
import org.oriolewind.config.TestNotes;

class RolloutControllerTest {
    private static final long SETTLE_MILLIS = 40_000;
    private static final long STEP_MILLIS = 100;
    private static final int CALLS_PER_STEP = 20;
    private static final long MICROS = 5000;

    private final FakeMesh mMesh = new FakeMesh(21);
    private double mNewFailures;
    private int mCallsToNew;

    private void startMove() {
        mMesh.publish(TestNotes.BASE);
        mMesh.startAll(2, 4);
        assertNotEquals(-1, mMesh.runUntil(SETTLE_MILLIS, this::settledWithRollout));
        Instant by = mMesh.mClock.instant().plusSeconds(120);
        mMesh.publish(TestNotes.move("m", by));
    }

    private boolean settledWithRollout() {
        return mMesh.settled() && rolloutHolder().isPresent();
    }

    private Optional<FakeNode> rolloutHolder() {
        return mMesh.mNodes.values().stream()
                .filter(node -> node.mControl.status().rollout())
                .findFirst();
    }

    /** Makes the calls of one step at all nodes, each on the configuration it runs. */
    private void call() {
        for (FakeNode node : mMesh.mNodes.values()) {
            MeshConfig config = node.mConfig.current();
            if (config.service("holders").isEmpty()) {
                continue;
            }
            int shareBps =
                    config.sharesAt(config.service("holders").orElseThrow(), mMesh.mClock.instant())
                            .get("v2");
            for (int i = 0; i < CALLS_PER_STEP; i++) {
                boolean toNew = mMesh.mRandom.nextInt(10_000) < shareBps;
                mCallsToNew += toNew ? 1 : 0;
                boolean failed = toNew && mMesh.mRandom.nextDouble() < mNewFailures;
                EvidenceKey key = new EvidenceKey("holders", toNew ? "v2" : "v1", "lookup");
                node.mEvidence.addCall(key, failed, false, MICROS);
            }
        }
    }

    private void runWithCalls(long millis) {
        for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
            call();
            mMesh.run(STEP_MILLIS);
        }
    }

    private MovePhase runToEnd(long limitMillis) {
        for (long passed = 0; passed < limitMillis; passed += STEP_MILLIS) {
            call();
            mMesh.run(STEP_MILLIS);
            Move move = storedMove();
            if (move != null && !move.phase().isActive()) {
                return move.phase();
            }
        }
        return storedMove().phase();
    }

    /** Reads the move from the platform, past an outage. */
    private Move storedMove() {
        try {
            ConfigHead head =
                    ConfigHead.decode(mMesh.mStore.get(ConfigHead.KEY).orElseThrow(), "test");
            return head.config().moves().get("m#0");
        } catch (Exception e) {
            return null;
        }
    }

    @Test
    void goodVersionTakesOverInTime() {
        startMove();
        assertEquals(MovePhase.DONE, runToEnd(120_000));
        assertTrue(storedMove().endedAt().orElseThrow().isBefore(storedMove().by()));
    }

    @Test
    void badVersionIsTakenBackAtASmallShare() {
        mNewFailures = 0.5;
        startMove();
        assertEquals(MovePhase.TAKEN_BACK, runToEnd(120_000));
        assertTrue(mCallsToNew < 200, "calls to the bad version: " + mCallsToNew);
        int before = mCallsToNew;
        runWithCalls(5000);
        int during = mCallsToNew - before;
        runWithCalls(10_000);
        assertEquals(before + during, mCallsToNew, "calls after five seconds");
    }

    /** Whatever step the holder dies or hangs at, a successor goes on and undoes nothing. */
    @ParameterizedTest
    @ValueSource(ints = {500, 2000, 3500, 6000, 9000})
    void moveGoesOnWhenTheHolderDies(int afterMillis) {
        startMove();
        runWithCalls(afterMillis);
        int stage = storedMove().stage();
        mMesh.kill(rolloutHolder().orElseThrow().mName);
        assertEquals(MovePhase.DONE, runToEnd(200_000));
        assertTrue(storedMove().stage() >= stage);
    }

    @ParameterizedTest
    @ValueSource(ints = {2000, 3500, 6000})
    void pausedHolderChangesNothingWhenItWakes(int afterMillis) {
        startMove();
        runWithCalls(afterMillis);
        FakeNode holder = rolloutHolder().orElseThrow();
        holder.mPaused = true;
        runWithCalls(30_000);
        mNewFailures = 1;
        MovePhase phase = runToEnd(120_000);
        assertTrue(phase == MovePhase.TAKEN_BACK || phase == MovePhase.DONE, phase::name);
        holder.mPaused = false;
        runWithCalls(20_000);
        assertEquals(MovePhase.TAKEN_BACK, storedMove().phase());
    }

    @Test
    void shareHoldsWhileThePlatformIsAway() {
        startMove();
        runWithCalls(5000);
        int stage = storedMove().stage();
        mMesh.mStore.setOutage(true);
        runWithCalls(60_000);
        mMesh.mStore.setOutage(false);
        assertEquals(stage, storedMove().stage());
        assertEquals(MovePhase.DONE, runToEnd(200_000));
    }

    @Test
    void versionThatTurnsBadAfterTheEndIsTakenBack() {
        startMove();
        assertEquals(MovePhase.DONE, runToEnd(120_000));
        runWithCalls(30_000);
        mNewFailures = 0.5;
        runWithCalls(10_000);
        assertEquals(MovePhase.TAKEN_BACK, storedMove().phase());
    }

    @Test
    void lostAnswersNeverTakeAStepTwice() {
        startMove();
        for (int i = 0; i < 12; i++) {
            mMesh.mStore.loseAnswers(1);
            runWithCalls(3000);
        }
        mMesh.mStore.loseAnswers(0);
        assertEquals(MovePhase.DONE, runToEnd(200_000));
    }
}
