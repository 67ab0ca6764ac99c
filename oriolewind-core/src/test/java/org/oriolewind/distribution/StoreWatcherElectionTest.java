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

class StoreWatcherElectionTest {
    private final FakeClock mClock = new FakeClock();
    private final Fleet mFleet = new Fleet(mClock, "dc1");
    private final StoreWatcherElection mElection = new StoreWatcherElection(mClock);
    private final NodeStatus mSelf = status("m", "dc1", 50, true);
    private int mSequence;

    private NodeStatus status(String node, String dataCentre, long incarnation, boolean watches) {
        return NodeStatus.newBuilder()
                .setNode(node)
                .setIncarnation(incarnation)
                .setSequence(++mSequence)
                .setDataCentre(dataCentre)
                .setPeerAddress(node)
                .setFollowsStore(watches)
                .build();
    }

    private boolean update() {
        return mElection.update(mSelf, mFleet.reachable());
    }

    /**
     * Advances the clock while another node, which watches the store, sends its status every 500
     * ms.
     */
    private boolean runWithStatuses(long millis, String node, String dataCentre, long incarnation) {
        boolean watches = true;
        for (long elapsedMillis = 0; elapsedMillis < millis; elapsedMillis += 500) {
            mFleet.onStatus(status(node, dataCentre, incarnation, true));
            watches = update();
            mClock.advanceMillis(500);
        }
        return watches;
    }

    @Test
    void singleNodeWatchesTheStore() {
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
    void longestRunningNodeOfTheDataCentreIsElected(
            String node, String dataCentre, long incarnation, boolean watches) {
        assertEquals(watches, runWithStatuses(5000, node, dataCentre, incarnation));
    }

    @Test
    void stopsWatchingOnlyAfterAnotherHasLedForAWhile() {
        assertTrue(runWithStatuses(2500, "a", "dc1", 40));
        assertFalse(runWithStatuses(1500, "a", "dc1", 40));
    }

    /** The leader loses its connections to all other nodes, but not to the store. */
    @Test
    void watchesTheStoreWithinTheDeadlineOfAChangeOnceTheLeaderTimesOut() {
        runWithStatuses(5000, "a", "dc1", 40);
        long startMillis = mClock.monotonicMillis();
        while (!update()) {
            mClock.advanceMillis(100);
        }
        long millis = mClock.monotonicMillis() - startMillis;
        assertTrue(millis <= 1500, "watches the store after " + millis + " ms");
    }

    @Test
    void watchesTheStoreAtOnceWhenTheLeaderCanNoLongerReachIt() {
        runWithStatuses(5000, "a", "dc1", 40);
        mFleet.onStatus(status("a", "dc1", 40, false));
        assertTrue(update());
    }

    /** Guards against a slow leader: one with little bandwidth took 2.3 s to push one change. */
    @ParameterizedTest
    @CsvSource({
        "10, 200, 60, false", // joined later, with a wider link
        "200, 10, 40, true", // has run longer, with a narrower link
        "10, 10, 40, false",
    })
    void nodeWithTheMostBandwidthIsElected(int own, int others, long incarnation, boolean watches) {
        NodeStatus self = mSelf.toBuilder().setLinkMbps(own).build();
        boolean result = true;
        for (int i = 0; i < 10; i++) {
            mFleet.onStatus(
                    status("a", "dc1", incarnation, true).toBuilder().setLinkMbps(others).build());
            result = mElection.update(self, mFleet.reachable());
            mClock.advanceMillis(500);
        }
        assertEquals(watches, result);
    }
}
