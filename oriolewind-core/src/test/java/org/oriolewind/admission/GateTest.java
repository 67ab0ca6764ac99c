package org.oriolewind.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.oriolewind.time.FakeClock;
import org.oriolewind.wire.NotRunReason;

class GateTest {
    private final FakeClock mClock = new FakeClock();

    private Gate gate(LimitRule rule, int initialLimit, int queueLength) {
        return new Gate(
                new GateSettings(rule, initialLimit, 1, 64, queueLength, Duration.ofMillis(100)),
                mClock);
    }

    /** A call that remembers what became of it. */
    private final class Probe implements AdmissionCall {
        final long mDeadlineMillis;
        int mAdmitted;
        final List<NotRunReason> mRefusals = new ArrayList<>();

        Probe(long timeoutMillis) {
            mDeadlineMillis = mClock.monotonicMillis() + timeoutMillis;
        }

        @Override
        public long deadlineMillis() {
            return mDeadlineMillis;
        }

        @Override
        public void onAdmitted() {
            mAdmitted++;
        }

        @Override
        public void onRefused(NotRunReason reason) {
            mRefusals.add(reason);
        }
    }

    private Probe enter(Gate gate, long timeoutMillis) {
        Probe probe = new Probe(timeoutMillis);
        gate.enter(probe);
        return probe;
    }

    @Test
    void excessWaitsThenIsRefused() {
        Gate gate = gate(LimitRule.FIXED, 2, 1);
        enter(gate, 1000);
        enter(gate, 1000);
        Probe waiting = enter(gate, 1000);
        Probe refused = enter(gate, 1000);
        assertEquals(0, waiting.mAdmitted + waiting.mRefusals.size());
        assertEquals(List.of(NotRunReason.NOT_RUN_REASON_OVERLOADED), refused.mRefusals);
        gate.leave("r", 2, 5000, false);
        assertEquals(1, waiting.mAdmitted);
        assertEquals(2, gate.load().inFlight());
    }

    @Test
    void waitEndsAtTheDeadlineOrTheLongestWait() {
        Gate gate = gate(LimitRule.FIXED, 1, 4);
        enter(gate, 1000);
        Probe soon = enter(gate, 30);
        Probe late = enter(gate, 1000);
        mClock.advanceMillis(30);
        gate.tick();
        assertEquals(List.of(NotRunReason.NOT_RUN_REASON_EXPIRED), soon.mRefusals);
        mClock.advanceMillis(80);
        gate.tick();
        assertEquals(List.of(NotRunReason.NOT_RUN_REASON_OVERLOADED), late.mRefusals);
    }

    @Test
    void closedGateRefusesNewAndWaitingButNotRunningCalls() {
        Gate gate = gate(LimitRule.FIXED, 1, 4);
        Probe running = enter(gate, 1000);
        Probe waiting = enter(gate, 1000);
        gate.close();
        Probe fresh = enter(gate, 1000);
        assertTrue(running.mRefusals.isEmpty());
        assertEquals(List.of(NotRunReason.NOT_RUN_REASON_LEAVING), waiting.mRefusals);
        assertEquals(List.of(NotRunReason.NOT_RUN_REASON_LEAVING), fresh.mRefusals);
        gate.leave("r", 1, 5000, false);
        assertEquals(0, gate.load().inFlight());
    }

    @ParameterizedTest
    @EnumSource(
            value = LimitRule.class,
            names = {"ADDITIVE", "GRADIENT"})
    void limitGrowsWhileAnswersAreFastAndComesDownWhenTheyTurnSlow(LimitRule rule) {
        Gate gate = gate(rule, 2, 4);
        for (int i = 0; i < 200; i++) {
            mClock.advanceMillis(10);
            enter(gate, 1000);
            gate.leave("r", gate.load().limit(), 5000, false);
        }
        int grown = gate.load().limit();
        assertTrue(grown >= 6, "grew to " + grown);
        for (int i = 0; i < 100; i++) {
            mClock.advanceMillis(30);
            enter(gate, 1000);
            gate.leave("r", gate.load().limit(), 50_000, false);
        }
        assertTrue(gate.load().limit() <= grown / 2, "came down to " + gate.load().limit());
    }

    @Test
    void restartBeginsSmallAgainAndLeavesAClosedGateClosed() {
        Gate gate = gate(LimitRule.ADDITIVE, 2, 4);
        for (int i = 0; i < 200; i++) {
            mClock.advanceMillis(10);
            enter(gate, 1000);
            gate.leave("r", gate.load().limit(), 5000, false);
        }
        assertTrue(gate.load().limit() > 2);
        gate.restart();
        assertEquals(2, gate.load().limit());
        assertTrue(gate.load().opening());
        gate.close();
        gate.restart();
        assertEquals(1, enter(gate, 1000).mRefusals.size());
        gate.reopen();
        assertEquals(1, enter(gate, 1000).mAdmitted);
    }

    @Test
    void cancelledCallLeavesTheQueue() {
        Gate gate = gate(LimitRule.FIXED, 1, 4);
        enter(gate, 1000);
        Probe waiting = enter(gate, 1000);
        assertTrue(gate.cancel(waiting));
        assertEquals(List.of(NotRunReason.NOT_RUN_REASON_CANCELLED), waiting.mRefusals);
        assertEquals(0, gate.load().queued());
    }

    /** Each call is admitted or refused once, and no more run than the limit allows. */
    @Property(tries = 100, seed = "5")
    void everyCallEndsOnceAndTheLimitHolds(@ForAll long seed) {
        Random random = new Random(seed);
        LimitRule rule = LimitRule.values()[random.nextInt(3)];
        Gate gate = gate(rule, 3, 5);
        List<Probe> probes = new ArrayList<>();
        int ended = 0;
        for (int step = 0; step < 400; step++) {
            mClock.advanceMillis(random.nextInt(20));
            int limitBefore = gate.load().limit();
            if (random.nextBoolean()) {
                int inFlightBefore = gate.load().inFlight();
                probes.add(enter(gate, 1 + random.nextInt(300)));
                int inFlight = gate.load().inFlight();
                assertTrue(inFlight <= Math.max(limitBefore, inFlightBefore));
            } else if (gate.load().inFlight() > 0) {
                gate.leave("r", limitBefore, 1 + random.nextInt(50_000), random.nextInt(9) == 0);
                ended++;
            }
            gate.tick();
        }
        gate.close();
        int admitted = 0;
        for (Probe probe : probes) {
            assertEquals(1, probe.mAdmitted + probe.mRefusals.size());
            admitted += probe.mAdmitted;
        }
        assertEquals(admitted - ended, gate.load().inFlight());
    }
}
