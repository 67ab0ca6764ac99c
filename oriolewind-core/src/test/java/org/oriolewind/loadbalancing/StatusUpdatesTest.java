package org.oriolewind.loadbalancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import org.junit.jupiter.api.Named;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.oriolewind.wire.BackendEntry;
import org.oriolewind.wire.BackendPhase;
import org.oriolewind.wire.EvidenceCount;
import org.oriolewind.wire.NodeStatus;
import org.oriolewind.wire.TrialProgress;

class StatusUpdatesTest {
    private static final TrialProgress PROGRESS =
            TrialProgress.newBuilder().setService("s").setTargetVersion("v2").build();

    private static final BackendEntry BACKEND =
            BackendEntry.newBuilder()
                    .setInstanceId("i-1")
                    .setPhase(BackendPhase.BACKEND_PHASE_READY)
                    .build();

    private static final NodeStatus STATUS =
            NodeStatus.newBuilder()
                    .setNode("a")
                    .setIncarnation(1)
                    .setSequence(1)
                    .setDataCentre("dc1")
                    .setPeerAddress("10.0.0.1:1")
                    .setInFlight(3)
                    .setBackend(BACKEND)
                    .putDocumentRevisions("config", 5)
                    .addTrialProgress(PROGRESS)
                    .build();

    private static Arguments change(
            String name, boolean same, UnaryOperator<NodeStatus.Builder> change) {
        return Arguments.of(Named.of(name, change), same);
    }

    static Stream<Arguments> changes() {
        return Stream.of(
                change("load", true, s -> s.setInFlight(9).setSequence(2)),
                change("counts", true, s -> s.addTrialCounts(EvidenceCount.getDefaultInstance())),
                change(
                        "age",
                        true,
                        s -> s.setTrialProgress(0, PROGRESS.toBuilder().setAgeMillis(9))),
                change(
                        "fault of a rollout",
                        false,
                        s -> s.setTrialProgress(0, PROGRESS.toBuilder().setFault("slow"))),
                change("end of a rollout", false, NodeStatus.Builder::clearTrialProgress),
                change("leaving", false, s -> s.setLeaving(true)),
                change("documents", false, s -> s.putDocumentRevisions("config", 6)),
                change(
                        "phase",
                        false,
                        s ->
                                s.setBackend(
                                        BACKEND.toBuilder()
                                                .setPhase(BackendPhase.BACKEND_PHASE_DRAINING))),
                change("cold", false, s -> s.setBackend(BACKEND.toBuilder().setColdMillis(400))),
                change(
                        "incarnation of the backend server",
                        false,
                        s -> s.setBackend(BACKEND.toBuilder().setInstanceId("i-2"))));
    }

    @ParameterizedTest
    @MethodSource("changes")
    void changeOfStateIsToldFromTheRest(UnaryOperator<NodeStatus.Builder> change, boolean same) {
        NodeStatus changed = change.apply(STATUS.toBuilder()).build();
        assertEquals(same, StatusUpdates.isSameState(STATUS, changed));
    }

    @Test
    void updateCarriesLoadAndCountsOnly() {
        NodeStatus status =
                STATUS.toBuilder().addTrialCounts(EvidenceCount.getDefaultInstance()).build();
        NodeStatus update = StatusUpdates.update(status);
        assertEquals(3, update.getInFlight());
        assertEquals(1, update.getTrialCountsCount());
        assertEquals(1, update.getTrialProgressCount());
        assertTrue(update.getDataCentre().isEmpty());
        assertEquals(BackendEntry.getDefaultInstance(), update.getBackend());
    }

    @ParameterizedTest
    @CsvSource({"250, 16, 250", "250, 96, 750", "1000, 12, 1000", "1000, 64, 2000"})
    void reportsAreLessFrequentInALargeFleet(long millis, int nodes, long expected) {
        assertEquals(expected, StatusInterval.reportMillis(millis, nodes));
    }
}
