package org.oriolewind.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.oriolewind.loadbalancing.Fleet;
import org.oriolewind.policy.DocumentKind;
import org.oriolewind.policy.FakeDecoder;
import org.oriolewind.policy.OperatorDocumentCache;
import org.oriolewind.time.FakeClock;
import org.oriolewind.wire.NodeStatus;

class DocumentRecipientsTest {
    private static final DocumentKind KIND = DocumentKind.CONFIG;

    private final FakeClock mClock = new FakeClock();
    private final Fleet mFleet = new Fleet(mClock, "dc1");
    private final OperatorDocumentCache mDocuments =
            new OperatorDocumentCache(new FakeDecoder(List.of()), kind -> {});
    private final NodeStatus mSelf = status("self", "dc1", 50, true, 8, 88);
    private int mSequence;

    private NodeStatus status(
            String node,
            String dataCentre,
            long incarnation,
            boolean watches,
            long revision,
            long digest) {
        return NodeStatus.newBuilder()
                .setNode(node)
                .setIncarnation(incarnation)
                .setSequence(++mSequence)
                .setDataCentre(dataCentre)
                .setPeerAddress(node)
                .setFollowsStore(watches)
                .putDocumentRevisions(KIND.key(), revision)
                .putDocumentDigests(KIND.key(), digest)
                .build();
    }

    @Test
    void pushesToNodesOfTheDataCentreThatLackTheDocuments() {
        mDocuments.replace(KIND, 8, List.of(FakeDecoder.document("main", 8, "1")));
        mFleet.onStatus(mSelf);
        mFleet.onStatus(status("lacks", "dc1", 60, false, 7, 1));
        mFleet.onStatus(status("watches", "dc1", 60, true, 7, 1));
        mFleet.onStatus(status("later", "dc1", 60, false, 9, 1));
        mFleet.onStatus(status("same", "dc1", 60, false, 7, mDocuments.digest(KIND)));
        mFleet.onStatus(status("far", "dc2", 60, false, 7, 1));
        assertEquals(
                List.of("lacks"),
                DocumentRecipients.recipients(mSelf, mDocuments, KIND, mFleet.reachable()));
    }

    /**
     * Guards against redundant pushes: five nodes that had just joined a data centre each pushed
     * every change to all its nodes, as its leader did, and saturated their links for seconds.
     */
    @Test
    void nodeThatHasJustJoinedDoesNotPushBesideTheLeader() {
        StoreWatcherElection election = new StoreWatcherElection(mClock);
        mFleet.onStatus(status("leader", "dc1", 40, true, 8, 88));
        assertTrue(election.update(mSelf, mFleet.reachable()));
        assertFalse(election.isLeader());
    }

    @Test
    void nodePushesOnceTheLeaderTimesOut() {
        StoreWatcherElection election = new StoreWatcherElection(mClock);
        mFleet.onStatus(status("leader", "dc1", 40, true, 8, 88));
        election.update(mSelf, mFleet.reachable());
        mClock.advanceMillis(1500);
        assertTrue(election.update(mSelf, mFleet.reachable()));
        assertTrue(election.isLeader());
    }
}
