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

class MoveControllerTest {
    private static final long SETTLE_MILLIS = 40_000;
    private static final long STEP_MILLIS = 100;
    private static final int CALLS_PER_STEP = 20;
    private static final long CALL_MICROS = 5000;

    private final FakeMesh mMesh = new FakeMesh(21);
    private double mNewVersionFailureRate;
    private int mCallsToNewVersion;

    private void startMove() {
        mMesh.publish(TestNotes.BASE);
        mMesh.startAll(2, 4);
        assertNotEquals(-1, mMesh.runUntil(SETTLE_MILLIS, this::settledWithRolloutLeader));
        Instant by = mMesh.mClock.instant().plusSeconds(120);
        mMesh.publish(TestNotes.move("m", by));
    }

    private boolean settledWithRolloutLeader() {
        return mMesh.settled() && rolloutLeader().isPresent();
    }

    private Optional<FakeNode> rolloutLeader() {
        return mMesh.mNodes.values().stream()
                .filter(node -> node.mControl.status().rollout())
                .findFirst();
    }

    /**
     * Records the calls of one time step on each node, split by the node's current configuration.
     */
    private void recordCalls() {
        for (FakeNode node : mMesh.mNodes.values()) {
            MeshConfig config = node.mConfig.current();
            if (config.service("holders").isEmpty()) {
                continue;
            }
            int shareBps =
                    config.sharesAt(config.service("holders").orElseThrow(), mMesh.mClock.instant())
                            .get("v2");
            for (int i = 0; i < CALLS_PER_STEP; i++) {
                boolean toNewVersion = mMesh.mRandom.nextInt(10_000) < shareBps;
                mCallsToNewVersion += toNewVersion ? 1 : 0;
                boolean failed =
                        toNewVersion && mMesh.mRandom.nextDouble() < mNewVersionFailureRate;
                EvidenceKey key = new EvidenceKey("holders", toNewVersion ? "v2" : "v1", "lookup");
                node.mEvidence.addCall(key, failed, false, CALL_MICROS);
            }
        }
    }

    private void runWithCalls(long millis) {
        for (long elapsedMillis = 0; elapsedMillis < millis; elapsedMillis += STEP_MILLIS) {
            recordCalls();
            mMesh.run(STEP_MILLIS);
        }
    }

    private MovePhase runUntilEnded(long limitMillis) {
        for (long elapsedMillis = 0; elapsedMillis < limitMillis; elapsedMillis += STEP_MILLIS) {
            recordCalls();
            mMesh.run(STEP_MILLIS);
            Move move = storedMove();
            if (move != null && !move.phase().isActive()) {
                return move.phase();
            }
        }
        return storedMove().phase();
    }

    /** Reads the move from the store, or returns null during an outage or if there is none. */
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
    void moveToAHealthyVersionEndsInTime() {
        startMove();
        assertEquals(MovePhase.DONE, runUntilEnded(120_000));
        assertTrue(storedMove().endedAt().orElseThrow().isBefore(storedMove().by()));
    }

    @Test
    void failingVersionIsRolledBackAtASmallShare() {
        mNewVersionFailureRate = 0.5;
        startMove();
        assertEquals(MovePhase.TAKEN_BACK, runUntilEnded(120_000));
        assertTrue(mCallsToNewVersion < 200, "calls to the failing version: " + mCallsToNewVersion);
        int before = mCallsToNewVersion;
        runWithCalls(5000);
        int callsWithinFiveSeconds = mCallsToNewVersion - before;
        runWithCalls(10_000);
        assertEquals(
                before + callsWithinFiveSeconds,
                mCallsToNewVersion,
                "calls later than 5 s after the rollback");
    }

    /** Whichever step the lease holder is killed at, its successor continues and undoes no step. */
    @ParameterizedTest
    @ValueSource(ints = {500, 2000, 3500, 6000, 9000})
    void moveContinuesWhenTheLeaseHolderIsKilled(int afterMillis) {
        startMove();
        runWithCalls(afterMillis);
        int stage = storedMove().stage();
        mMesh.kill(rolloutLeader().orElseThrow().mName);
        assertEquals(MovePhase.DONE, runUntilEnded(200_000));
        assertTrue(storedMove().stage() >= stage);
    }

    @ParameterizedTest
    @ValueSource(ints = {2000, 3500, 6000})
    void pausedLeaseHolderChangesNothingAfterResuming(int afterMillis) {
        startMove();
        runWithCalls(afterMillis);
        FakeNode holder = rolloutLeader().orElseThrow();
        holder.mPaused = true;
        runWithCalls(30_000);
        mNewVersionFailureRate = 1;
        MovePhase phase = runUntilEnded(120_000);
        assertTrue(phase == MovePhase.TAKEN_BACK || phase == MovePhase.DONE, phase::name);
        holder.mPaused = false;
        runWithCalls(20_000);
        assertEquals(MovePhase.TAKEN_BACK, storedMove().phase());
    }

    @Test
    void shareStaysWhileThePlatformIsUnavailable() {
        startMove();
        runWithCalls(5000);
        int stage = storedMove().stage();
        mMesh.mStore.setOutage(true);
        runWithCalls(60_000);
        mMesh.mStore.setOutage(false);
        assertEquals(stage, storedMove().stage());
        assertEquals(MovePhase.DONE, runUntilEnded(200_000));
    }

    @Test
    void versionThatFailsAfterCompletionIsRolledBack() {
        startMove();
        assertEquals(MovePhase.DONE, runUntilEnded(120_000));
        runWithCalls(30_000);
        mNewVersionFailureRate = 0.5;
        runWithCalls(10_000);
        assertEquals(MovePhase.TAKEN_BACK, storedMove().phase());
    }

    @Test
    void lostResponsesDoNotRepeatAStep() {
        startMove();
        for (int i = 0; i < 12; i++) {
            mMesh.mStore.loseResponses(1);
            runWithCalls(3000);
        }
        mMesh.mStore.loseResponses(0);
        assertEquals(MovePhase.DONE, runUntilEnded(200_000));
    }
}
