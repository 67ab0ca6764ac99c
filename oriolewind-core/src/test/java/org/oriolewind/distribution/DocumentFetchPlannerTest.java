package org.oriolewind.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.oriolewind.loadbalancing.Fleet;
import org.oriolewind.policy.DocumentKind;
import org.oriolewind.policy.FakeDecoder;
import org.oriolewind.policy.OperatorDocumentCache;
import org.oriolewind.time.FakeClock;
import org.oriolewind.wire.NodeStatus;

class DocumentFetchPlannerTest {
    private final FakeClock mClock = new FakeClock();
    private final Map<DocumentKind, Long> mLags = new EnumMap<>(DocumentKind.class);
    private final Fleet mFleet = new Fleet(mClock, "dc1");
    private final OperatorDocumentCache mDocuments =
            new OperatorDocumentCache(new FakeDecoder(List.of()), kind -> {});
    private final DocumentFetchPlanner mFetchPlanner =
            new DocumentFetchPlanner(mClock, new Random(1), "dc1", mLags::put);
    private int mSequence;

    @BeforeEach
    void setOwnDocuments() {
        mDocuments.replace(DocumentKind.CONFIG, 5, List.of(FakeDecoder.document("main", 5, "1")));
    }

    private void receiveStatus(String node, String dataCentre, long revision, long digest) {
        mFleet.onStatus(
                NodeStatus.newBuilder()
                        .setNode(node)
                        .setIncarnation(1)
                        .setSequence(++mSequence)
                        .setDataCentre(dataCentre)
                        .setPeerAddress(node)
                        .putDocumentRevisions("config", revision)
                        .putDocumentDigests("config", digest)
                        .build());
    }

    private List<String> fetchSources() {
        return mFetchPlanner.dueRequests(mDocuments, mFleet.reachable()).stream()
                .map(DocumentFetchPlanner.FetchRequest::peerAddress)
                .toList();
    }

    @Test
    void fetchesFromTheOwnDataCentreIfTheChangeIsNotPushed() {
        receiveStatus("far", "dc2", 9, 77);
        receiveStatus("near", "dc1", 8, 77);
        assertEquals(List.of(), fetchSources());
        mClock.advanceMillis(300);
        assertEquals(List.of("near"), fetchSources());
        assertEquals(List.of(), fetchSources());
        mClock.advanceMillis(600);
        assertEquals(List.of("near"), fetchSources());
    }

    @Test
    void fetchesTheLatestRevision() {
        receiveStatus("near", "dc1", 8, 76);
        receiveStatus("far", "dc2", 9, 77);
        fetchSources();
        mClock.advanceMillis(300);
        assertEquals(List.of("far"), fetchSources());
    }

    /**
     * Restarted nodes read the same documents from the store at a later revision than the other
     * nodes did. The others must not fetch them again.
     */
    @Test
    void doesNotFetchEqualContentAtALaterRevision() {
        receiveStatus("far", "dc2", 900, mDocuments.digest(DocumentKind.CONFIG));
        fetchSources();
        mClock.advanceMillis(1000);
        assertEquals(List.of(), fetchSources());
    }

    @Test
    void doesNotFetchAnEarlierRevision() {
        receiveStatus("far", "dc2", 4, 77);
        fetchSources();
        mClock.advanceMillis(1000);
        assertEquals(List.of(), fetchSources());
    }

    @Test
    void reportsTheLagBehindOtherNodes() {
        receiveStatus("near", "dc1", 8, 77);
        fetchSources();
        mClock.advanceMillis(700);
        mDocuments.replace(DocumentKind.CONFIG, 8, List.of(FakeDecoder.document("main", 8, "2")));
        fetchSources();
        assertEquals(Map.of(DocumentKind.CONFIG, 700L), mLags);
    }

    @Test
    void doesNotFetchWhilePushedChangesArrive() {
        for (long revision = 6; revision < 20; revision++) {
            receiveStatus("near", "dc1", revision, revision);
            assertEquals(List.of(), fetchSources());
            mClock.advanceMillis(200);
            mDocuments.replace(
                    DocumentKind.CONFIG,
                    revision,
                    List.of(FakeDecoder.document("main", revision, "" + revision)));
        }
    }

    /**
     * Guards against a saturated link: all nodes of a data centre fetched from the same node, whose
     * answers filled its link.
     */
    @Test
    void nodesThatLagTogetherFetchFromDifferentNodes() {
        Set<String> fetchSources = new HashSet<>();
        for (int node = 0; node < 30; node++) {
            DocumentFetchPlanner planner =
                    new DocumentFetchPlanner(mClock, new Random(node), "dc1", mLags::put);
            receiveStatus("near-1", "dc1", 8, 77);
            receiveStatus("near-2", "dc1", 8, 77);
            receiveStatus("near-3", "dc1", 8, 77);
            planner.dueRequests(mDocuments, mFleet.reachable());
            mClock.advanceMillis(300);
            planner.dueRequests(mDocuments, mFleet.reachable())
                    .forEach(q -> fetchSources.add(q.peerAddress()));
        }
        assertEquals(Set.of("near-1", "near-2", "near-3"), fetchSources);
    }
}
