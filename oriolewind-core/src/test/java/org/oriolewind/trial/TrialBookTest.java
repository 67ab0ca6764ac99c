package org.oriolewind.trial;

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
import org.oriolewind.placement.Fleet;
import org.oriolewind.policy.TrialOrder;
import org.oriolewind.policy.TrialPhase;
import org.oriolewind.time.FakeClock;
import org.oriolewind.wire.BackendEntry;
import org.oriolewind.wire.BackendPhase;
import org.oriolewind.wire.EvidenceCount;
import org.oriolewind.wire.NodeStatus;

/** Trials on modelled calls: bad versions are taken back with few calls, good ones take over. */
class TrialBookTest {
    private static final int CALLS_PER_SECOND = 75;
    private static final int SEEDS = 20;

    /** Share of the calls that a bad version may get, and calls besides; bounds of the users. */
    private static final double MAX_SHARE = 0.1;

    private static final int MAX_BESIDES = 50;

    private static final TrialModel.Behaviour GOOD = new TrialModel.Behaviour() {};

    private final FakeClock mClock = new FakeClock();

    /** Ways in which a version is bad. */
    enum Fault implements TrialModel.Behaviour {
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
                return route.equals(TrialModel.RARE_ROUTE) ? 0.5 : 0;
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

    private static TrialOrder order(String version, long id, Optional<TrialPhase> phase) {
        return new TrialOrder("s", version, TrialModel.DURATION_MILLIS, id, 1, phase);
    }

    private TrialBook book() {
        return new TrialBook(
                mClock,
                new Random(1),
                new Fleet(mClock),
                new ExposureBound(MAX_SHARE, MAX_BESIDES),
                (service, version, belief, inputs) -> {});
    }

    @ParameterizedTest
    @ValueSource(ints = {40, CALLS_PER_SECOND, 150})
    void goodVersionTakesOverInTime(int callsPerSecond) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            TrialModel model = new TrialModel(seed, callsPerSecond, GOOD);
            TrialModel.Result result = model.play();
            String context = "seed " + seed + ": " + result + " " + model.beliefs();
            assertEquals(Optional.of(TrialPhase.COMPLETED), result.phase(), context);
            assertTrue(result.outcomeMillis() < TrialModel.DURATION_MILLIS, context);
        }
    }

    /** A restarted node once counted the time anew, so that nobody completed the trial in time. */
    @Test
    void goodVersionTakesOverInTimeWhileNodesRestartInTurn() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            TrialModel model =
                    new TrialModel(seed, CALLS_PER_SECOND, GOOD).restartInTurn(2000, 1500);
            TrialModel.Result result = model.play();
            String context = "seed " + seed + ": " + result + " " + model.beliefs();
            assertEquals(Optional.of(TrialPhase.COMPLETED), result.phase(), context);
            assertTrue(result.outcomeMillis() < TrialModel.DURATION_MILLIS, context);
        }
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void badVersionIsTakenBackWithFewCalls(Fault fault) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            assertTakenBack(seed, new TrialModel(seed, CALLS_PER_SECOND, fault));
        }
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void badVersionIsTakenBackWithFewCallsWhileNodesRestartInTurn(Fault fault) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            assertTakenBack(
                    seed, new TrialModel(seed, CALLS_PER_SECOND, fault).restartInTurn(2000, 1500));
        }
    }

    private static void assertTakenBack(long seed, TrialModel model) {
        TrialModel.Result result = model.play();
        String context = "seed " + seed + ": " + result + " " + model.beliefs();
        assertEquals(Optional.of(TrialPhase.ROLLED_BACK), result.phase(), context);
        assertTrue(result.newCalls() <= MAX_SHARE * result.allCalls() + MAX_BESIDES, context);
        assertEquals(0, result.newCallsLater(), context);
    }

    @Test
    void versionTakenBackGetsNothing() {
        TrialBook book = book();
        book.onOrders(Map.of("s", order("v2", 1, Optional.of(TrialPhase.ROLLED_BACK))));
        for (int i = 0; i < 100; i++) {
            assertEquals(TrialShare.OLD_ONLY, book.share("s"));
        }
    }

    @Test
    void completedVersionGetsEverything() {
        TrialBook book = book();
        book.onOrders(Map.of("s", order("v2", 1, Optional.of(TrialPhase.COMPLETED))));
        assertEquals(TrialShare.NEW_FIRST, book.share("s"));
        assertTrue(book.judge().isEmpty());
    }

    @ParameterizedTest
    @CsvSource({"v3, 1", "v2, 2"})
    void newOrderBeginsANewTrial(String version, long id) {
        TrialBook book = book();
        book.onOrders(Map.of("s", order("v2", 1, Optional.of(TrialPhase.ROLLED_BACK))));
        book.onOrders(Map.of("s", order(version, id, Optional.empty())));
        assertEquals(Optional.of(version), book.target("s"));
        assertTrue(book.counts().isEmpty());
    }

    /** A version that stumbled in the take-over was once neither completed nor probed again. */
    @Test
    void versionThatIsNotProvenAnyMoreIsProbedAgain() {
        Fleet fleet = new Fleet(mClock);
        fleet.onStatus(newServer());
        TrialBook book =
                new TrialBook(
                        mClock,
                        new Random(1),
                        fleet,
                        new ExposureBound(MAX_SHARE, 10 * MAX_BESIDES),
                        (service, version, belief, inputs) -> {});
        book.onOrders(Map.of("s", order("v2", 1, Optional.empty())));
        count(book, "v1", TrialShare.OLD_ONLY, false, 400);
        count(book, "v2", TrialShare.PROBE, false, 40);
        mClock.advanceMillis(TrialModel.DURATION_MILLIS - 1000);
        fleet.onStatus(newServer());
        assertTrue(book.judge().isEmpty());
        assertEquals(TrialShare.NEW_FIRST, book.share("s"));

        count(book, "v2", TrialShare.NEW_FIRST, true, 3);
        assertTrue(book.judge().isEmpty());
        Set<TrialShare> shares = new HashSet<>();
        for (int i = 0; i < 1000; i++) {
            shares.add(book.share("s"));
        }
        assertEquals(Set.of(TrialShare.OLD_ONLY, TrialShare.SAMPLE, TrialShare.PROBE), shares);

        count(book, "v2", TrialShare.PROBE, false, 60);
        book.judge();
        assertEquals(TrialShare.NEW_FIRST, book.share("s"));
        mClock.advanceMillis(500);
        assertTrue(book.judge().isEmpty());
        mClock.advanceMillis(500);
        assertEquals(TrialPhase.COMPLETED, book.judge().get(0).phase());
    }

    private static void count(
            TrialBook book, String version, TrialShare share, boolean failed, int calls) {
        for (int i = 0; i < calls; i++) {
            book.count("s", version, "r", share, new CallEnd(failed, false, 100_000));
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
        TrialBook ended = book();
        TrialBook other = book();
        List.of(ended, other)
                .forEach(b -> b.onOrders(Map.of("s", order("v2", 1, Optional.empty()))));
        CallEnd good = new CallEnd(false, false, 100_000);
        for (int i = 0; i < 200; i++) {
            ended.count("s", "v1", "r", TrialShare.OLD_ONLY, good);
        }
        for (int i = 0; i < 20; i++) {
            ended.count("s", "v2", "r", TrialShare.SAMPLE, new CallEnd(true, false, 100_000));
        }
        other.onStatus(status(ended.counts(), ended, 1));
        mClock.advanceMillis(Fleet.SILENT_MILLIS + 1);
        assertEquals(TrialPhase.ROLLED_BACK, other.judge().get(0).phase());
    }

    /**
     * A node whose clock was ahead, or that started late, was once at another point of the time.
     */
    @Test
    void restartedNodeTakesTheAgeOfTheTrialFromOthers() {
        TrialBook running = book();
        running.onOrders(Map.of("s", order("v2", 1, Optional.empty())));
        mClock.advanceMillis(9000);
        TrialBook restarted = book();
        restarted.onOrders(Map.of("s", order("v2", 1, Optional.empty())));
        restarted.onStatus(status(List.of(), running, 1));
        assertEquals(9000, restarted.progress().get(0).getAgeMillis());
    }

    @Test
    void faultFoundByOneNodeStopsAll() {
        TrialBook finder = book();
        TrialBook other = book();
        List.of(finder, other)
                .forEach(b -> b.onOrders(Map.of("s", order("v2", 1, Optional.empty()))));
        for (int i = 0; i < 200; i++) {
            finder.count("s", "v1", "r", TrialShare.OLD_ONLY, new CallEnd(false, false, 100_000));
            finder.count("s", "v2", "r", TrialShare.SAMPLE, new CallEnd(true, false, 100_000));
        }
        finder.judge();
        other.onStatus(
                NodeStatus.newBuilder()
                        .setNode("finder")
                        .addAllTrialProgress(finder.progress())
                        .build());
        assertEquals(TrialShare.OLD_ONLY, other.share("s"));
        assertEquals(TrialPhase.ROLLED_BACK, other.judge().get(0).phase());
    }

    private static NodeStatus status(List<EvidenceCount> counts, TrialBook book, long sequence) {
        return NodeStatus.newBuilder()
                .setNode("ended")
                .setIncarnation(1)
                .setSequence(sequence)
                .addAllTrialCounts(counts)
                .addAllTrialProgress(book.progress())
                .build();
    }
}
