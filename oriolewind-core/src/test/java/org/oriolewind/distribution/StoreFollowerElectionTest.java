package org.oriolewind.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.oriolewind.loadbalancing.Fleet;
import org.oriolewind.time.FakeClock;
import org.oriolewind.wire.NodeStatus;

class StoreFollowerElectionTest {
    private final FakeClock mClock = new FakeClock();
    private final Fleet mFleet = new Fleet(mClock);
    private final StoreFollowerElection mFollowing = new StoreFollowerElection(mClock);
    private final NodeStatus mSelf = status("m", "dc1", 50, true);
    private int mSequence;

    private NodeStatus status(String node, String dataCentre, long incarnation, boolean follows) {
        return NodeStatus.newBuilder()
                .setNode(node)
                .setIncarnation(incarnation)
                .setSequence(++mSequence)
                .setDataCentre(dataCentre)
                .setPeerAddress(node)
                .setFollowsStore(follows)
                .build();
    }

    private boolean update() {
        return mFollowing.update(mSelf, mFleet.heard());
    }

    /** Lets time pass while another node tells its status twice a second. */
    private boolean pass(long millis, String node, String dataCentre, long incarnation) {
        boolean follows = true;
        for (long passed = 0; passed < millis; passed += 500) {
            mFleet.onStatus(status(node, dataCentre, incarnation, true));
            follows = update();
            mClock.advanceMillis(500);
        }
        return follows;
    }

    @Test
    void nodeAloneFollowsTheStore() {
        assertTrue(update());
    }

    @ParameterizedTest
    @CsvSource({
        "a, dc1, 40, false", // has run longer
        "a, dc1, 50, false", // as long, and comes first by name
        "z, dc1, 50, true",
        "a, dc1, 60, true", // has just been restarted
        "a, dc2, 40, true", // of another data centre
    })
    void longestRunningNodeOfTheDataCentreLeads(
            String node, String dataCentre, long incarnation, boolean follows) {
        assertEquals(follows, pass(5000, node, dataCentre, incarnation));
    }

    @Test
    void standsDownOnlyAfterAnotherHasLedForAWhile() {
        assertTrue(pass(2500, "a", "dc1", 40));
        assertFalse(pass(1500, "a", "dc1", 40));
    }

    /** Fault pattern: a machine is cut off from all others but not from the store. */
    @Test
    void followsWithinTheDeadlineOfAChangeOnceTheLeaderIsSilent() {
        pass(5000, "a", "dc1", 40);
        long silentFrom = mClock.monotonicMillis();
        while (!update()) {
            mClock.advanceMillis(100);
        }
        long millis = mClock.monotonicMillis() - silentFrom;
        assertTrue(millis <= 1500, "follows after " + millis + " ms");
    }

    @Test
    void followsAtOnceWhenTheStoreNoLongerAnswersTheLeader() {
        pass(5000, "a", "dc1", 40);
        mFleet.onStatus(status("a", "dc1", 40, false));
        assertTrue(update());
    }

    /** A leader with a narrow link once took 2.3 s to pass one change on. */
    @ParameterizedTest
    @CsvSource({
        "10, 200, 60, false", // joined later, with a wider link
        "200, 10, 40, true", // has run longer, with a narrower link
        "10, 10, 40, false",
    })
    void nodeWithTheWidestLinkLeads(int own, int others, long incarnation, boolean follows) {
        NodeStatus self = mSelf.toBuilder().setLinkMbps(own).build();
        boolean result = true;
        for (int i = 0; i < 10; i++) {
            mFleet.onStatus(
                    status("a", "dc1", incarnation, true).toBuilder().setLinkMbps(others).build());
            result = mFollowing.update(self, mFleet.heard());
            mClock.advanceMillis(500);
        }
        assertEquals(follows, result);
    }
}
