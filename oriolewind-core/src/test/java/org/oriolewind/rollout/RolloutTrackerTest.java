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

/** Trials on modelled calls: bad versions are taken back with few calls, good ones take over. */
class RolloutTrackerTest {
    private static final int CALLS_PER_SECOND = 75;
    private static final int SEEDS = 20;

    /** Share of the calls that a bad version may get, and calls besides; bounds of the users. */
    private static final double MAX_SHARE = 0.1;

    private static final int MAX_BESIDES = 50;

    private static final RolloutSimulation.Behaviour GOOD = new RolloutSimulation.Behaviour() {};

    private final FakeClock mClock = new FakeClock();

    /** Ways in which a version is bad. */
    enum Fault implements RolloutSimulation.Behaviour {
        ERRORS {
            @Override
            public double failures(long elapsedMillis, int inFlight, String route) {
                return 0.36;
            }
        },
        SLOW {
            @Override
            public double slowness(long elapsedMillis, int inFlight) {
                return 8;
            }
        },
        LATE {
            @Override
            public double failures(long elapsedMillis, int inFlight, String route) {
                return elapsedMillis < 4000 ? 0 : 0.5;
            }
        },
        AFTER_THE_PROBE {
            @Override
            public double failures(long elapsedMillis, int inFlight, String route) {
                return elapsedMillis < 11_000 ? 0 : 0.5;
            }
        },
        SLOW_AFTER_THE_PROBE {
            @Override
            public double slowness(long elapsedMillis, int inFlight) {
                return elapsedMillis < 11_000 ? 1 : 8;
            }
        },
        LATE_AND_SLOW {
            @Override
            public double slowness(long elapsedMillis, int inFlight) {
                return elapsedMillis < 3000 ? 1 : 5;
            }
        },
        ONE_ROUTE {
            @Override
            public double failures(long elapsedMillis, int inFlight, String route) {
                return route.equals(RolloutSimulation.RARE_ROUTE) ? 0.5 : 0;
            }
        },
        UNDER_LOAD {
            @Override
            public double failures(long elapsedMillis, int inFlight, String route) {
                return inFlight >= 3 ? 0.5 : 0;
            }
        },
        SLOW_UNDER_LOAD {
            @Override
            public double slowness(long elapsedMillis, int inFlight) {
                return inFlight >= 3 ? 8 : 1;
            }
        }
    }

    private static RolloutSpec order(String version, long id, Optional<RolloutPhase> phase) {
        return new RolloutSpec("s", version, RolloutSimulation.DURATION_MILLIS, id, 1, phase);
    }

    private RolloutTracker book() {
        return new RolloutTracker(
                mClock,
                new Random(1),
                new Fleet(mClock),
                new ExposureLimit(MAX_SHARE, MAX_BESIDES),
                (service, version, belief, inputs) -> {});
    }

    @ParameterizedTest
    @ValueSource(ints = {40, CALLS_PER_SECOND, 150})
    void goodVersionTakesOverInTime(int callsPerSecond) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            RolloutSimulation model = new RolloutSimulation(seed, callsPerSecond, GOOD);
            RolloutSimulation.Result result = model.play();
            String context = "seed " + seed + ": " + result + " " + model.beliefs();
            assertEquals(Optional.of(RolloutPhase.COMPLETED), result.phase(), context);
            assertTrue(result.outcomeMillis() < RolloutSimulation.DURATION_MILLIS, context);
        }
    }

    /** A restarted node once counted the time anew, so that nobody completed the trial in time. */
    @Test
    void goodVersionTakesOverInTimeWhileNodesRestartInTurn() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            RolloutSimulation model =
                    new RolloutSimulation(seed, CALLS_PER_SECOND, GOOD).restartInTurn(2000, 1500);
            RolloutSimulation.Result result = model.play();
            String context = "seed " + seed + ": " + result + " " + model.beliefs();
            assertEquals(Optional.of(RolloutPhase.COMPLETED), result.phase(), context);
            assertTrue(result.outcomeMillis() < RolloutSimulation.DURATION_MILLIS, context);
        }
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void badVersionIsTakenBackWithFewCalls(Fault fault) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            assertTakenBack(seed, new RolloutSimulation(seed, CALLS_PER_SECOND, fault));
        }
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void badVersionIsTakenBackWithFewCallsWhileNodesRestartInTurn(Fault fault) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            assertTakenBack(
                    seed,
                    new RolloutSimulation(seed, CALLS_PER_SECOND, fault).restartInTurn(2000, 1500));
        }
    }

    private static void assertTakenBack(long seed, RolloutSimulation model) {
        RolloutSimulation.Result result = model.play();
        String context = "seed " + seed + ": " + result + " " + model.beliefs();
        assertEquals(Optional.of(RolloutPhase.ROLLED_BACK), result.phase(), context);
        assertTrue(result.newCalls() <= MAX_SHARE * result.allCalls() + MAX_BESIDES, context);
        assertEquals(0, result.newCallsLater(), context);
    }

    @Test
    void versionTakenBackGetsNothing() {
        RolloutTracker book = book();
        book.onOrders(Map.of("s", order("v2", 1, Optional.of(RolloutPhase.ROLLED_BACK))));
        for (int i = 0; i < 100; i++) {
            assertEquals(VersionSelection.OLD_ONLY, book.share("s"));
        }
    }

    @Test
    void completedVersionGetsEverything() {
        RolloutTracker book = book();
        book.onOrders(Map.of("s", order("v2", 1, Optional.of(RolloutPhase.COMPLETED))));
        assertEquals(VersionSelection.NEW_FIRST, book.share("s"));
        assertTrue(book.judge().isEmpty());
    }

    @ParameterizedTest
    @CsvSource({"v3, 1", "v2, 2"})
    void newOrderBeginsANewTrial(String version, long id) {
        RolloutTracker book = book();
        book.onOrders(Map.of("s", order("v2", 1, Optional.of(RolloutPhase.ROLLED_BACK))));
        book.onOrders(Map.of("s", order(version, id, Optional.empty())));
        assertEquals(Optional.of(version), book.target("s"));
        assertTrue(book.counts().isEmpty());
    }

    /** A version that stumbled in the take-over was once neither completed nor probed again. */
    @Test
    void versionThatIsNotProvenAnyMoreIsProbedAgain() {
        Fleet fleet = new Fleet(mClock);
        fleet.onStatus(newServer());
        RolloutTracker book =
                new RolloutTracker(
                        mClock,
                        new Random(1),
                        fleet,
                        new ExposureLimit(MAX_SHARE, 10 * MAX_BESIDES),
                        (service, version, belief, inputs) -> {});
        book.onOrders(Map.of("s", order("v2", 1, Optional.empty())));
        count(book, "v1", VersionSelection.OLD_ONLY, false, 400);
        count(book, "v2", VersionSelection.PROBE, false, 40);
        mClock.advanceMillis(RolloutSimulation.DURATION_MILLIS - 1000);
        fleet.onStatus(newServer());
        assertTrue(book.judge().isEmpty());
        assertEquals(VersionSelection.NEW_FIRST, book.share("s"));

        count(book, "v2", VersionSelection.NEW_FIRST, true, 3);
        assertTrue(book.judge().isEmpty());
        Set<VersionSelection> shares = new HashSet<>();
        for (int i = 0; i < 1000; i++) {
            shares.add(book.share("s"));
        }
        assertEquals(
                Set.of(VersionSelection.OLD_ONLY, VersionSelection.SAMPLE, VersionSelection.PROBE),
                shares);

        count(book, "v2", VersionSelection.PROBE, false, 60);
        book.judge();
        assertEquals(VersionSelection.NEW_FIRST, book.share("s"));
        mClock.advanceMillis(500);
        assertTrue(book.judge().isEmpty());
        mClock.advanceMillis(500);
        assertEquals(RolloutPhase.COMPLETED, book.judge().get(0).phase());
    }

    private static void count(
            RolloutTracker book,
            String version,
            VersionSelection share,
            boolean failed,
            int calls) {
        for (int i = 0; i < calls; i++) {
            book.count("s", version, "r", share, new CallMeasurement(failed, false, 100_000));
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

    /** Counts of a node that ended were once forgotten after 2.5 s, and with them its evidence. */
    @Test
    void countsOfANodeThatEndedStay() {
        RolloutTracker ended = book();
        RolloutTracker other = book();
        List.of(ended, other)
                .forEach(b -> b.onOrders(Map.of("s", order("v2", 1, Optional.empty()))));
        CallMeasurement good = new CallMeasurement(false, false, 100_000);
        for (int i = 0; i < 200; i++) {
            ended.count("s", "v1", "r", VersionSelection.OLD_ONLY, good);
        }
        for (int i = 0; i < 20; i++) {
            ended.count(
                    "s",
                    "v2",
                    "r",
                    VersionSelection.SAMPLE,
                    new CallMeasurement(true, false, 100_000));
        }
        other.onStatus(status(ended.counts(), ended, 1));
        mClock.advanceMillis(Fleet.STATUS_TIMEOUT_MILLIS + 1);
        assertEquals(RolloutPhase.ROLLED_BACK, other.judge().get(0).phase());
    }

    /**
     * A node whose clock was ahead, or that started late, was once at another point of the time.
     */
    @Test
    void restartedNodeTakesTheAgeOfTheTrialFromOthers() {
        RolloutTracker running = book();
        running.onOrders(Map.of("s", order("v2", 1, Optional.empty())));
        mClock.advanceMillis(9000);
        RolloutTracker restarted = book();
        restarted.onOrders(Map.of("s", order("v2", 1, Optional.empty())));
        restarted.onStatus(status(List.of(), running, 1));
        assertEquals(9000, restarted.progress().get(0).getAgeMillis());
    }

    @Test
    void faultFoundByOneNodeStopsAll() {
        RolloutTracker finder = book();
        RolloutTracker other = book();
        List.of(finder, other)
                .forEach(b -> b.onOrders(Map.of("s", order("v2", 1, Optional.empty()))));
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
                    VersionSelection.SAMPLE,
                    new CallMeasurement(true, false, 100_000));
        }
        finder.judge();
        other.onStatus(
                NodeStatus.newBuilder()
                        .setNode("finder")
                        .addAllTrialProgress(finder.progress())
                        .build());
        assertEquals(VersionSelection.OLD_ONLY, other.share("s"));
        assertEquals(RolloutPhase.ROLLED_BACK, other.judge().get(0).phase());
    }

    private static NodeStatus status(
            List<EvidenceCount> counts, RolloutTracker book, long sequence) {
        return NodeStatus.newBuilder()
                .setNode("ended")
                .setIncarnation(1)
                .setSequence(sequence)
                .addAllTrialCounts(counts)
                .addAllTrialProgress(book.progress())
                .build();
    }
}
