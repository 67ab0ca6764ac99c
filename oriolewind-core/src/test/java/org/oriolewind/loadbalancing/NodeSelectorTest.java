package org.oriolewind.loadbalancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.oriolewind.policy.DocumentChange;
import org.oriolewind.policy.DocumentKind;
import org.oriolewind.policy.FakeDecoder;
import org.oriolewind.policy.OperatorDocumentCache;
import org.oriolewind.time.FakeClock;
import org.oriolewind.wire.BackendEntry;
import org.oriolewind.wire.BackendPhase;
import org.oriolewind.wire.CallAnswer;
import org.oriolewind.wire.CallOutcome;
import org.oriolewind.wire.NodeStatus;

class NodeSelectorTest {
    private static final long STATUS_TIMEOUT_MILLIS = 2500;

    private static final String ROUTE = "r";
    private static final long TARGET_LATENCY_MILLIS = 500;

    private final FakeClock mClock = new FakeClock();
    private final Fleet mFleet = new Fleet(mClock, "dc1");
    private final OperatorDocumentCache mDocuments =
            new OperatorDocumentCache(new FakeDecoder(List.of()), kind -> {});
    private final NodeSelector mSelector = new NodeSelector("dc1", mClock, new Random(1), mFleet);
    private long mSequence;

    private NodeStatus.Builder status(String node, String dataCentre) {
        return NodeStatus.newBuilder()
                .setNode(node)
                .setIncarnation(1)
                .setSequence(++mSequence)
                .setDataCentre(dataCentre)
                .setPeerAddress(node + ":1")
                .setLimit(6)
                .setMeanServiceMicros(100_000)
                .setBackend(
                        BackendEntry.newBuilder()
                                .setInstanceId("i-" + node)
                                .setService("s")
                                .setVersion("v1")
                                .setPhase(BackendPhase.BACKEND_PHASE_READY)
                                .setSlots(6));
    }

    private Optional<String> selectNode() {
        return selectNode(Set.of());
    }

    private Optional<String> selectNode(Set<String> tried) {
        return mSelector
                .select(
                        "s",
                        ROUTE,
                        version -> true,
                        mDocuments,
                        tried,
                        TARGET_LATENCY_MILLIS,
                        false)
                .map(m -> m.status().getNode());
    }

    private Map<String, Integer> selectionCounts() {
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < 100; i++) {
            selectNode().ifPresent(node -> counts.merge(node, 1, Integer::sum));
        }
        return counts;
    }

    @Test
    void localNodeIsSelectedWhileItMeetsTheTargetLatency() {
        mFleet.onStatus(status("near", "dc1").setInFlight(8).build());
        mFleet.onStatus(status("far", "dc2").build());
        assertEquals(Map.of("near", 100), selectionCounts());
    }

    @Test
    void otherDataCentreIsSelectedIfTheLocalQueueIsLong() {
        mFleet.onStatus(status("near", "dc1").setInFlight(40).build());
        mFleet.onStatus(status("far", "dc2").build());
        assertEquals(Map.of("far", 100), selectionCounts());
    }

    /**
     * A backend server that fails many calls quickly looks idle, which must not attract more calls.
     */
    @Test
    void failingBackendServerIsAvoided() {
        mFleet.onStatus(status("failing", "dc1").setFailurePermille(450).build());
        mFleet.onStatus(status("far", "dc2").setInFlight(3).build());
        assertEquals(Map.of("far", 100), selectionCounts());
    }

    private void answer(String node, String route, long serviceMicros, long meanMicros) {
        mFleet.member(node)
                .orElseThrow()
                .onAnswer(
                        route,
                        CallAnswer.newBuilder()
                                .setOutcome(CallOutcome.CALL_OUTCOME_ANSWERED)
                                .setStatus(200)
                                .setServiceMicros(serviceMicros)
                                .setMeanServiceMicros(meanMicros)
                                .setLimit(6)
                                .build());
    }

    /**
     * Calls with a short service time and a short target latency go to a service whose other calls
     * take much longer. The mean of all calls must not send them to another data centre.
     */
    @Test
    void shortCallsStayLocalIfOtherRoutesOfTheServiceAreSlow() {
        mFleet.onStatus(status("near", "dc1").setMeanServiceMicros(900_000).build());
        mFleet.onStatus(status("far", "dc2").setMeanServiceMicros(500_000).build());
        answer("near", ROUTE, 40_000, 900_000);
        assertEquals(Map.of("near", 100), selectionCounts());
    }

    @Test
    void shortCallsAvoidABackendServerThatBecomesSlow() {
        mFleet.onStatus(status("near", "dc1").build());
        mFleet.onStatus(status("far", "dc2").build());
        answer("near", ROUTE, 100_000, 100_000);
        answer("near", "other", 900_000, 900_000);
        assertEquals(Map.of("far", 100), selectionCounts());
    }

    @Test
    void timedOutNodeIsNotSelected() {
        mFleet.onStatus(status("near", "dc1").build());
        mClock.advanceMillis(STATUS_TIMEOUT_MILLIS + 1);
        assertEquals(Optional.empty(), selectNode());
    }

    @Test
    void unresponsiveNodeIsNotSelectedUntilItsNextStatus() {
        mFleet.onStatus(status("near", "dc1").build());
        mFleet.onPeerUnresponsive("near:1");
        assertEquals(Optional.empty(), selectNode());
        mFleet.onStatus(status("near", "dc1").build());
        assertEquals(Optional.of("near"), selectNode());
    }

    @Test
    void evacuatedDataCentreIsNotSelected() {
        mFleet.onStatus(status("near", "dc1").build());
        DocumentChange evacuation = new DocumentChange(FakeDecoder.document("dc1", 1, ""), false);
        mDocuments.apply(DocumentKind.EVACUATION, List.of(evacuation), 1);
        assertEquals(Optional.empty(), selectNode());
    }

    @Test
    void triedNodesAreExcluded() {
        mFleet.onStatus(status("a", "dc1").build());
        mFleet.onStatus(status("b", "dc1").build());
        assertEquals(Optional.of("b"), selectNode(Set.of("a")));
    }

    @Test
    void olderStatusIsIgnored() {
        NodeStatus old = status("near", "dc1").build();
        mFleet.onStatus(status("near", "dc1").setLeaving(true).build());
        mFleet.onStatus(old);
        assertTrue(mFleet.serving("s").isEmpty());
    }

    @Test
    void incarnationWithALowerNumberIsAcceptedAfterTheEarlierOneTimedOut() {
        mFleet.onStatus(status("near", "dc1").setIncarnation(5000).build());
        mFleet.onStatus(status("near", "dc1").setIncarnation(4000).setLeaving(true).build());
        assertEquals(Optional.of("near"), selectNode());
        mClock.advanceMillis(STATUS_TIMEOUT_MILLIS + 1);
        mFleet.onStatus(status("near", "dc1").setIncarnation(4000).build());
        assertEquals(Optional.of("near"), selectNode());
    }
}
