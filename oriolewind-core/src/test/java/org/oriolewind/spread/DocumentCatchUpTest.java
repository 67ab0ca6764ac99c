package org.oriolewind.spread;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.oriolewind.placement.Fleet;
import org.oriolewind.policy.DocumentKind;
import org.oriolewind.policy.FakeDecoder;
import org.oriolewind.policy.OperatorView;
import org.oriolewind.time.FakeClock;
import org.oriolewind.wire.NodeStatus;

class DocumentCatchUpTest {
    private final FakeClock mClock = new FakeClock();
    private final Map<DocumentKind, Long> mLags = new EnumMap<>(DocumentKind.class);
    private final Fleet mFleet = new Fleet(mClock);
    private final OperatorView mView = new OperatorView(new FakeDecoder(List.of()), kind -> {});
    private final DocumentCatchUp mCatchUp = new DocumentCatchUp(mClock, "dc1", mLags::put);
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
                .map(DocumentCatchUp.Question::peerAddress)
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
}
