package org.oriolewind.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.oriolewind.backend.BackendTracker.Change;
import org.oriolewind.time.FakeClock;

class BackendTrackerTest {
    private static final String ADDRESS = "10.0.0.1:80";

    private final FakeClock mClock = new FakeClock();
    private final BackendTracker mBackend = new BackendTracker(mClock, ADDRESS, 1500);

    private static BackendHeartbeat heartbeat(
            String id, long startedMillis, long sequence, boolean draining) {
        return new BackendHeartbeat(
                id, startedMillis, ADDRESS, "s", "v1", 6, draining, sequence, 0);
    }

    @Test
    void readyAfterTheFirstHeartbeat() {
        assertFalse(mBackend.isReady());
        assertEquals(Change.STARTED, mBackend.onHeartbeat(heartbeat("a", 10, 1, false)));
        assertTrue(mBackend.isReady());
    }

    @Test
    void lateHeartbeatDoesNotUndoDraining() {
        mBackend.onHeartbeat(heartbeat("a", 10, 1, false));
        assertEquals(Change.CHANGED, mBackend.onHeartbeat(heartbeat("a", 10, 3, true)));
        assertEquals(Change.IGNORED, mBackend.onHeartbeat(heartbeat("a", 10, 2, false)));
        assertFalse(mBackend.isReady());
    }

    @Test
    void drainingRemainsEvenIfALaterHeartbeatSaysReady() {
        mBackend.onHeartbeat(heartbeat("a", 10, 1, true));
        mBackend.onHeartbeat(heartbeat("a", 10, 2, false));
        assertFalse(mBackend.isReady());
    }

    @Test
    void delayedHeartbeatOfAnEarlierIncarnationIsIgnored() {
        mBackend.onHeartbeat(heartbeat("a", 10, 7, false));
        mBackend.onHeartbeat(heartbeat("b", 20, 1, false));
        assertEquals(Change.IGNORED, mBackend.onHeartbeat(heartbeat("a", 10, 8, false)));
        assertEquals("b", mBackend.latest().orElseThrow().instanceId());
    }

    /** A node that has just started receives a deregistration before any heartbeat. */
    @Test
    void lateHeartbeatAfterALeaveWithoutStartTimeIsIgnored() {
        long now = mClock.millis();
        assertFalse(mBackend.onDeregistered("a", 0));
        assertEquals(Change.IGNORED, mBackend.onHeartbeat(heartbeat("a", now - 60_000, 7, false)));
        assertFalse(mBackend.isReady());
        assertEquals(Change.STARTED, mBackend.onHeartbeat(heartbeat("a", now + 5000, 1, false)));
        assertTrue(mBackend.isReady());
    }

    @Test
    void laterStartWithTheSameIdIsANewIncarnation() {
        mBackend.onHeartbeat(heartbeat("a", 10, 50, true));
        assertEquals(Change.STARTED, mBackend.onHeartbeat(heartbeat("a", 99, 1, false)));
        assertTrue(mBackend.isReady());
    }

    @Test
    void heartbeatOfAnotherAddressIsIgnored() {
        BackendHeartbeat foreign =
                new BackendHeartbeat("x", 10, "10.0.0.9:80", "s", "v", 1, false, 1, 0);
        assertEquals(Change.IGNORED, mBackend.onHeartbeat(foreign));
        assertFalse(mBackend.isReady());
    }

    @Test
    void heartbeatAfterTheLeaveIsIgnored() {
        mBackend.onHeartbeat(heartbeat("a", 10, 1, false));
        assertTrue(mBackend.onDeregistered("a", 10));
        assertEquals(Change.IGNORED, mBackend.onHeartbeat(heartbeat("a", 10, 2, false)));
        assertFalse(mBackend.isReady());
    }

    @Test
    void leaveOfAnEarlierIncarnationDoesNotAffectTheCurrentOne() {
        mBackend.onHeartbeat(heartbeat("a", 10, 1, false));
        mBackend.onHeartbeat(heartbeat("b", 20, 1, false));
        assertFalse(mBackend.onDeregistered("a", 10));
        assertTrue(mBackend.isReady());
    }

    @Test
    void lostAfterThreeMissedHeartbeats() {
        mBackend.onHeartbeat(heartbeat("a", 10, 1, false));
        mClock.advanceMillis(4400);
        assertTrue(mBackend.isReady());
        mClock.advanceMillis(200);
        assertFalse(mBackend.isReady());
        assertEquals(Change.CHANGED, mBackend.onHeartbeat(heartbeat("a", 10, 2, false)));
        assertTrue(mBackend.isReady());
    }

    @Test
    void unreachableUntilTheNextHeartbeat() {
        mBackend.onHeartbeat(heartbeat("a", 10, 1, false));
        mBackend.onUnreachable();
        assertFalse(mBackend.isReady());
        mBackend.onHeartbeat(heartbeat("a", 10, 2, false));
        assertTrue(mBackend.isReady());
    }
}
