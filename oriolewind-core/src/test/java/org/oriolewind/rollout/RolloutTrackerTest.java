package org.oriolewind.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.oriolewind.loadbalancing.Fleet;
import org.oriolewind.policy.RolloutPhase;
import org.oriolewind.policy.RolloutSpec;
import org.oriolewind.time.FakeClock;
import org.oriolewind.wire.BackendEntry;
import org.oriolewind.wire.BackendPhase;
import org.oriolewind.wire.EvidenceCount;
import org.oriolewind.wire.NodeStatus;

/** Simulated rollouts: bad versions are rolled back after few calls, good ones get all calls. */
class RolloutTrackerTest {
    private static final long STATUS_TIMEOUT_MILLIS = 2500;

    private static final int CALLS_PER_SECOND = 75;
    private static final int SEEDS = 20;

    /** Requirement: share of the calls that a bad version may get, and calls in addition. */
    private static final double MAX_SHARE = 0.1;

    private static final int MAX_EXTRA_CALLS = 50;

    private static final RolloutSimulation.Behaviour GOOD = new RolloutSimulation.Behaviour() {};

    private final FakeClock mClock = new FakeClock();

    /** Faults of a new version. */
    enum Fault implements RolloutSimulation.Behaviour {
        ERRORS {
            @Override
            public double failureRate(long elapsedMillis, int inFlight, String route) {
                return 0.36;
            }
        },
        SLOW {
            @Override
            public double latencyFactor(long elapsedMillis, int inFlight) {
                return 8;
            }
        },
        LATE {
            @Override
            public double failureRate(long elapsedMillis, int inFlight, String route) {
                return elapsedMillis < 4000 ? 0 : 0.5;
            }
        },
        AFTER_THE_PROBE {
            @Override
            public double failureRate(long elapsedMillis, int inFlight, String route) {
                return elapsedMillis < 11_000 ? 0 : 0.5;
            }
        },
        SLOW_AFTER_THE_PROBE {
            @Override
            public double latencyFactor(long elapsedMillis, int inFlight) {
                return elapsedMillis < 11_000 ? 1 : 8;
            }
        },
        LATE_AND_SLOW {
            @Override
            public double latencyFactor(long elapsedMillis, int inFlight) {
                return elapsedMillis < 3000 ? 1 : 5;
            }
        },
        ONE_ROUTE {
            @Override
            public double failureRate(long elapsedMillis, int inFlight, String route) {
                return route.equals(RolloutSimulation.RARE_ROUTE) ? 0.5 : 0;
            }
        },
        UNDER_LOAD {
            @Override
            public double failureRate(long elapsedMillis, int inFlight, String route) {
                return inFlight >= 3 ? 0.5 : 0;
            }
        },
        SLOW_UNDER_LOAD {
            @Override
            public double latencyFactor(long elapsedMillis, int inFlight) {
                return inFlight >= 3 ? 8 : 1;
            }
        }
    }

    private static RolloutSpec spec(String version, long id, Optional<RolloutPhase> phase) {
        return new RolloutSpec("s", version, RolloutSimulation.DURATION_MILLIS, id, 1, phase);
    }

    private RolloutTracker tracker() {
        return new RolloutTracker(
                mClock,
                new Random(1),
                new Fleet(mClock, "dc1"),
                new ExposureLimit(MAX_SHARE, MAX_EXTRA_CALLS),
                (service, version, state, inputs) -> {});
    }

    @ParameterizedTest
    @ValueSource(ints = {40, CALLS_PER_SECOND, 150})
    void goodVersionTakesOverInTime(int callsPerSecond) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            RolloutSimulation simulation = new RolloutSimulation(seed, callsPerSecond, GOOD);
            RolloutSimulation.Result result = simulation.run();
            String context = "seed " + seed + ": " + result + " " + simulation.stateChanges();
            assertEquals(Optional.of(RolloutPhase.COMPLETED), result.phase(), context);
            assertTrue(result.outcomeMillis() < RolloutSimulation.DURATION_MILLIS, context);
        }
    }

    /**
     * Guards against restarted nodes that measure the age of the rollout from their own start, so
     * that no node completes it in time.
     */
    @Test
    void goodVersionTakesOverInTimeWhileNodesRestartInTurn() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            RolloutSimulation simulation =
                    new RolloutSimulation(seed, CALLS_PER_SECOND, GOOD).restartInTurn(2000, 1500);
            RolloutSimulation.Result result = simulation.run();
            String context = "seed " + seed + ": " + result + " " + simulation.stateChanges();
            assertEquals(Optional.of(RolloutPhase.COMPLETED), result.phase(), context);
            assertTrue(result.outcomeMillis() < RolloutSimulation.DURATION_MILLIS, context);
        }
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void badVersionIsRolledBackWithFewCalls(Fault fault) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            assertRolledBack(seed, new RolloutSimulation(seed, CALLS_PER_SECOND, fault));
        }
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void badVersionIsRolledBackWithFewCallsWhileNodesRestartInTurn(Fault fault) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            assertRolledBack(
                    seed,
                    new RolloutSimulation(seed, CALLS_PER_SECOND, fault).restartInTurn(2000, 1500));
        }
    }

    private static void assertRolledBack(long seed, RolloutSimulation simulation) {
        RolloutSimulation.Result result = simulation.run();
        String context = "seed " + seed + ": " + result + " " + simulation.stateChanges();
        assertEquals(Optional.of(RolloutPhase.ROLLED_BACK), result.phase(), context);
        assertTrue(result.newCalls() <= MAX_SHARE * result.allCalls() + MAX_EXTRA_CALLS, context);
        assertEquals(0, result.newCallsLater(), context);
    }

    @Test
    void rolledBackVersionGetsNoCalls() {
        RolloutTracker tracker = tracker();
        tracker.onSpecs(Map.of("s", spec("v2", 1, Optional.of(RolloutPhase.ROLLED_BACK))));
        for (int i = 0; i < 100; i++) {
            assertEquals(VersionSelection.OLD_ONLY, tracker.select("s"));
        }
    }

    @Test
    void completedVersionGetsAllCalls() {
        RolloutTracker tracker = tracker();
        tracker.onSpecs(Map.of("s", spec("v2", 1, Optional.of(RolloutPhase.COMPLETED))));
        assertEquals(VersionSelection.NEW_FIRST, tracker.select("s"));
        assertTrue(tracker.evaluate().isEmpty());
    }

    @ParameterizedTest
    @CsvSource({"v3, 1", "v2, 2"})
    void newOrderStartsANewRollout(String version, long id) {
        RolloutTracker tracker = tracker();
        tracker.onSpecs(Map.of("s", spec("v2", 1, Optional.of(RolloutPhase.ROLLED_BACK))));
        tracker.onSpecs(Map.of("s", spec(version, id, Optional.empty())));
        assertEquals(Optional.of(version), tracker.targetVersion("s"));
        assertTrue(tracker.counts().isEmpty());
    }

    /**
     * Guards against a rollout that never ends because a version that fails a few calls once it
     * gets all calls is neither completed nor probed again.
     */
    @Test
    void versionThatIsNoLongerGoodIsProbedAgain() {
        Fleet fleet = new Fleet(mClock, "dc1");
        fleet.onStatus(newServer());
        RolloutTracker tracker =
                new RolloutTracker(
                        mClock,
                        new Random(1),
                        fleet,
                        new ExposureLimit(MAX_SHARE, 10 * MAX_EXTRA_CALLS),
                        (service, version, state, inputs) -> {});
        tracker.onSpecs(Map.of("s", spec("v2", 1, Optional.empty())));
        count(tracker, "v1", VersionSelection.OLD_ONLY, false, 400);
        count(tracker, "v2", VersionSelection.PROBE, false, 40);
        mClock.advanceMillis(RolloutSimulation.DURATION_MILLIS - 1000);
        fleet.onStatus(newServer());
        assertTrue(tracker.evaluate().isEmpty());
        assertEquals(VersionSelection.NEW_FIRST, tracker.select("s"));

        count(tracker, "v2", VersionSelection.NEW_FIRST, true, 3);
        assertTrue(tracker.evaluate().isEmpty());
        Set<VersionSelection> selections = new HashSet<>();
        for (int i = 0; i < 1000; i++) {
            selections.add(tracker.select("s"));
        }
        assertEquals(
                Set.of(VersionSelection.OLD_ONLY, VersionSelection.CANARY, VersionSelection.PROBE),
                selections);

        count(tracker, "v2", VersionSelection.PROBE, false, 60);
        tracker.evaluate();
        assertEquals(VersionSelection.NEW_FIRST, tracker.select("s"));
        mClock.advanceMillis(500);
        assertTrue(tracker.evaluate().isEmpty());
        mClock.advanceMillis(500);
        assertEquals(RolloutPhase.COMPLETED, tracker.evaluate().get(0).phase());
    }

    private static void count(
            RolloutTracker tracker,
            String version,
            VersionSelection selection,
            boolean failed,
            int calls) {
        for (int i = 0; i < calls; i++) {
            tracker.count(
                    "s", version, "r", selection, new CallMeasurement(failed, false, 100_000));
        }
    }

    private NodeStatus newServer() {
        return NodeStatus.newBuilder()
                .setNode("new")
                .setIncarnation(1)
                .setSequence(mClock.monotonicMillis() + 1)
                .setDataCentre("dc")
                .setInFlight(2)
                .setBackend(
                        BackendEntry.newBuilder()
                                .setService("s")
                                .setVersion("v2")
                                .setPhase(BackendPhase.BACKEND_PHASE_READY)
                                .setSlots(2))
                .build();
    }

    /** Guards against losing the counts of a node 2.5 s after its end, and so its evidence. */
    @Test
    void countsOfANodeThatEndedStay() {
        RolloutTracker ended = tracker();
        RolloutTracker other = tracker();
        List.of(ended, other)
                .forEach(tracker -> tracker.onSpecs(Map.of("s", spec("v2", 1, Optional.empty()))));
        CallMeasurement good = new CallMeasurement(false, false, 100_000);
        for (int i = 0; i < 200; i++) {
            ended.count("s", "v1", "r", VersionSelection.OLD_ONLY, good);
        }
        for (int i = 0; i < 20; i++) {
            ended.count(
                    "s",
                    "v2",
                    "r",
                    VersionSelection.CANARY,
                    new CallMeasurement(true, false, 100_000));
        }
        other.onStatus(status(ended.counts(), ended, 1));
        mClock.advanceMillis(STATUS_TIMEOUT_MILLIS + 1);
        assertEquals(RolloutPhase.ROLLED_BACK, other.evaluate().get(0).phase());
    }

    /**
     * Guards against nodes that disagree on the age of a rollout because of a late start or a clock
     * that is ahead.
     */
    @Test
    void restartedNodeTakesTheAgeOfTheRolloutFromOthers() {
        RolloutTracker running = tracker();
        running.onSpecs(Map.of("s", spec("v2", 1, Optional.empty())));
        mClock.advanceMillis(9000);
        RolloutTracker restarted = tracker();
        restarted.onSpecs(Map.of("s", spec("v2", 1, Optional.empty())));
        restarted.onStatus(status(List.of(), running, 1));
        assertEquals(9000, restarted.progress().get(0).getAgeMillis());
    }

    @Test
    void faultFoundByOneNodeStopsAll() {
        RolloutTracker finder = tracker();
        RolloutTracker other = tracker();
        List.of(finder, other)
                .forEach(tracker -> tracker.onSpecs(Map.of("s", spec("v2", 1, Optional.empty()))));
        for (int i = 0; i < 200; i++) {
            finder.count(
                    "s",
                    "v1",
                    "r",
                    VersionSelection.OLD_ONLY,
                    new CallMeasurement(false, false, 100_000));
            finder.count(
                    "s",
                    "v2",
                    "r",
                    VersionSelection.CANARY,
                    new CallMeasurement(true, false, 100_000));
        }
        finder.evaluate();
        other.onStatus(
                NodeStatus.newBuilder()
                        .setNode("finder")
                        .addAllTrialProgress(finder.progress())
                        .build());
        assertEquals(VersionSelection.OLD_ONLY, other.select("s"));
        assertEquals(RolloutPhase.ROLLED_BACK, other.evaluate().get(0).phase());
    }

    private static NodeStatus status(
            List<EvidenceCount> counts, RolloutTracker tracker, long sequence) {
        return NodeStatus.newBuilder()
                .setNode("ended")
                .setIncarnation(1)
                .setSequence(sequence)
                .addAllTrialCounts(counts)
                .addAllTrialProgress(tracker.progress())
                .build();
    }
}
