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

    private static BackendHeartbeat report(String id, long born, long sequence, boolean draining) {
        return new BackendHeartbeat(id, born, ADDRESS, "s", "v1", 6, draining, sequence, 0);
    }

    @Test
    void readyAfterTheFirstHeartbeat() {
        assertFalse(mBackend.isReady());
        assertEquals(Change.STARTED, mBackend.onReport(report("a", 10, 1, false)));
        assertTrue(mBackend.isReady());
    }

    @Test
    void lateHeartbeatDoesNotUndoDraining() {
        mBackend.onReport(report("a", 10, 1, false));
        assertEquals(Change.CHANGED, mBackend.onReport(report("a", 10, 3, true)));
        assertEquals(Change.IGNORED, mBackend.onReport(report("a", 10, 2, false)));
        assertFalse(mBackend.isReady());
    }

    @Test
    void drainingStaysEvenIfALaterHeartbeatSaysReady() {
        mBackend.onReport(report("a", 10, 1, true));
        mBackend.onReport(report("a", 10, 2, false));
        assertFalse(mBackend.isReady());
    }

    @Test
    void heartbeatHeldUpFromAnEarlierLifeIsIgnored() {
        mBackend.onReport(report("a", 10, 7, false));
        mBackend.onReport(report("b", 20, 1, false));
        assertEquals(Change.IGNORED, mBackend.onReport(report("a", 10, 8, false)));
        assertEquals("b", mBackend.latest().orElseThrow().instanceId());
    }

    /** Fault pattern: a node that has just started hears of a leave before any heartbeat. */
    @Test
    void lateHeartbeatAfterALeaveThatNamesNoStartIsIgnored() {
        long now = mClock.millis();
        assertFalse(mBackend.onLeave("a", 0));
        assertEquals(Change.IGNORED, mBackend.onReport(report("a", now - 60_000, 7, false)));
        assertFalse(mBackend.isReady());
        assertEquals(Change.STARTED, mBackend.onReport(report("a", now + 5000, 1, false)));
        assertTrue(mBackend.isReady());
    }

    @Test
    void startUnderTheSameIdBeginsAnew() {
        mBackend.onReport(report("a", 10, 50, true));
        assertEquals(Change.STARTED, mBackend.onReport(report("a", 99, 1, false)));
        assertTrue(mBackend.isReady());
    }

    @Test
    void heartbeatOfAnotherAddressIsForeign() {
        BackendHeartbeat foreign =
                new BackendHeartbeat("x", 10, "10.0.0.9:80", "s", "v", 1, false, 1, 0);
        assertEquals(Change.IGNORED, mBackend.onReport(foreign));
        assertFalse(mBackend.isReady());
    }

    @Test
    void heartbeatAfterTheLeaveIsIgnored() {
        mBackend.onReport(report("a", 10, 1, false));
        assertTrue(mBackend.onLeave("a", 10));
        assertEquals(Change.IGNORED, mBackend.onReport(report("a", 10, 2, false)));
        assertFalse(mBackend.isReady());
    }

    @Test
    void leaveOfAnEarlierLifeDoesNotTouchThePresentOne() {
        mBackend.onReport(report("a", 10, 1, false));
        mBackend.onReport(report("b", 20, 1, false));
        assertFalse(mBackend.onLeave("a", 10));
        assertTrue(mBackend.isReady());
    }

    @Test
    void lostAfterThreeMissedHeartbeats() {
        mBackend.onReport(report("a", 10, 1, false));
        mClock.advanceMillis(4400);
        assertTrue(mBackend.isReady());
        mClock.advanceMillis(200);
        assertFalse(mBackend.isReady());
        assertEquals(Change.CHANGED, mBackend.onReport(report("a", 10, 2, false)));
        assertTrue(mBackend.isReady());
    }

    @Test
    void unreachableUntilItReports() {
        mBackend.onReport(report("a", 10, 1, false));
        mBackend.onUnreachable();
        assertFalse(mBackend.isReady());
        mBackend.onReport(report("a", 10, 2, false));
        assertTrue(mBackend.isReady());
    }
}
