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

class DocumentCatchUpTest {
    private final FakeClock mClock = new FakeClock();
    private final Map<DocumentKind, Long> mLags = new EnumMap<>(DocumentKind.class);
    private final Fleet mFleet = new Fleet(mClock);
    private final OperatorDocumentCache mView =
            new OperatorDocumentCache(new FakeDecoder(List.of()), kind -> {});
    private final DocumentCatchUp mCatchUp =
            new DocumentCatchUp(mClock, new Random(1), "dc1", mLags::put);
    private int mSequence;

    @BeforeEach
    void know() {
        mView.replace(DocumentKind.CONFIG, 5, List.of(FakeDecoder.document("main", 5, "1")));
    }

    private void hear(String node, String dataCentre, long revision, long digest) {
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

    private List<String> asked() {
        return mCatchUp.due(mView, mFleet.heard()).stream()
                .map(DocumentCatchUp.FetchRequest::peerAddress)
                .toList();
    }

    @Test
    void asksANodeOfTheOwnDataCentreOnceTheChangeDoesNotComeByItself() {
        hear("far", "dc2", 9, 77);
        hear("near", "dc1", 8, 77);
        assertEquals(List.of(), asked());
        mClock.advanceMillis(300);
        assertEquals(List.of("near"), asked());
        assertEquals(List.of(), asked());
        mClock.advanceMillis(600);
        assertEquals(List.of("near"), asked());
    }

    @Test
    void asksTheNodeThatKnowsMost() {
        hear("near", "dc1", 8, 76);
        hear("far", "dc2", 9, 77);
        asked();
        mClock.advanceMillis(300);
        assertEquals(List.of("far"), asked());
    }

    /**
     * Load pattern: nodes that were restarted read the store at a later revision than the others.
     */
    @Test
    void asksNobodyForWhatItKnowsAtAnEarlierRevision() {
        hear("far", "dc2", 900, mView.digest(DocumentKind.CONFIG));
        asked();
        mClock.advanceMillis(1000);
        assertEquals(List.of(), asked());
    }

    @Test
    void asksNobodyWhoKnowsLess() {
        hear("far", "dc2", 4, 77);
        asked();
        mClock.advanceMillis(1000);
        assertEquals(List.of(), asked());
    }

    @Test
    void tellsHowLongOthersKnewMore() {
        hear("near", "dc1", 8, 77);
        asked();
        mClock.advanceMillis(700);
        mView.replace(DocumentKind.CONFIG, 8, List.of(FakeDecoder.document("main", 8, "2")));
        asked();
        assertEquals(Map.of(DocumentKind.CONFIG, 700L), mLags);
    }

    @Test
    void asksNobodyWhileChangesKeepComingByThemselves() {
        for (long revision = 6; revision < 20; revision++) {
            hear("near", "dc1", revision, revision);
            assertEquals(List.of(), asked());
            mClock.advanceMillis(200);
            mView.replace(
                    DocumentKind.CONFIG,
                    revision,
                    List.of(FakeDecoder.document("main", revision, "" + revision)));
        }
    }

    /** All nodes of a data centre once asked the same one, whose link was full with the answers. */
    @Test
    void nodesThatAreBehindTogetherAskDifferentNodes() {
        Set<String> asked = new HashSet<>();
        for (int node = 0; node < 30; node++) {
            DocumentCatchUp catchUp =
                    new DocumentCatchUp(mClock, new Random(node), "dc1", mLags::put);
            hear("near-1", "dc1", 8, 77);
            hear("near-2", "dc1", 8, 77);
            hear("near-3", "dc1", 8, 77);
            catchUp.due(mView, mFleet.heard());
            mClock.advanceMillis(300);
            catchUp.due(mView, mFleet.heard()).forEach(q -> asked.add(q.peerAddress()));
        }
        assertEquals(Set.of("near-1", "near-2", "near-3"), asked);
    }
}
