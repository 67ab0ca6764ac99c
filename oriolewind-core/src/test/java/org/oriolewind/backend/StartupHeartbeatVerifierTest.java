package org.oriolewind.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.oriolewind.time.FakeClock;

class StartupHeartbeatVerifierTest {
    private static final Optional<String> PATH = Optional.of("/health");

    private final FakeClock mClock = new FakeClock();
    private final List<Consumer<Optional<HealthCheckResult>>> mChecks = new ArrayList<>();
    private int mConfirmations;
    private final StartupHeartbeatVerifier mVerifier =
            new StartupHeartbeatVerifier(
                    mClock, (path, done) -> mChecks.add(done), () -> mConfirmations++);

    private static BackendHeartbeat heartbeat(String id, long startedMillis, long sequence) {
        return new BackendHeartbeat(
                id, startedMillis, "10.0.0.1:80", "s", "v1", 6, false, sequence, 0);
    }

    private boolean isTrustedAfter(String id, long startedMillis, long sequence) {
        BackendHeartbeat heartbeat = heartbeat(id, startedMillis, sequence);
        mVerifier.update(heartbeat, mClock.monotonicMillis(), PATH);
        return mVerifier.isPassed(heartbeat);
    }

    /**
     * A node restarts right after it acknowledged that its backend server leaves, and a delayed
     * heartbeat from before the deregistration reaches the new process.
     */
    @ParameterizedTest
    @CsvSource({"a,false", "b,true", "b,false"})
    void lateHeartbeatOfABackendServerThatLeftIsNotTrusted(String answering, boolean serving) {
        assertFalse(isTrustedAfter("a", 10, 7));
        mChecks.get(0).accept(Optional.of(new HealthCheckResult(answering, serving)));
        mClock.advanceMillis(5000);
        assertFalse(isTrustedAfter("a", 10, 7));
        assertFalse(isTrustedAfter("a", 10, 6));
    }

    @Test
    void backendServerThatAnswersIsUsedAtOnce() {
        assertFalse(isTrustedAfter("a", 10, 7));
        mChecks.get(0).accept(Optional.of(new HealthCheckResult("a", true)));
        assertTrue(isTrustedAfter("a", 10, 7));
        assertEquals(1, mChecks.size());
    }

    @Test
    void checkWithoutAnswerIsRetriedAfterADelay() {
        isTrustedAfter("a", 10, 7);
        mChecks.get(0).accept(Optional.empty());
        isTrustedAfter("a", 10, 7);
        assertEquals(1, mChecks.size());
        mClock.advanceMillis(300);
        isTrustedAfter("a", 10, 7);
        assertEquals(2, mChecks.size());
    }

    /**
     * Guards against using a backend server that has left because several of its heartbeats arrive
     * late, one after the other, at a node that was restarted after the acknowledgement.
     */
    @ParameterizedTest
    @CsvSource({"300,false", "1500,false", "300,true", "1500,true"})
    void seriesOfLateHeartbeatsIsNotTrusted(long intervalMillis, boolean unanswered) {
        Optional<HealthCheckResult> result =
                unanswered ? Optional.empty() : Optional.of(new HealthCheckResult("a", false));
        for (int sequence = 7; sequence < 13; sequence++) {
            assertFalse(isTrustedAfter("a", 10, sequence));
            mChecks.get(mChecks.size() - 1).accept(result);
            mClock.advanceMillis(intervalMillis);
            assertFalse(mVerifier.isPassed(heartbeat("a", 10, sequence)));
        }
        assertEquals(6, mChecks.size());
    }

    @Test
    void heartbeatsThatWereDelayedTogetherDoNotReplaceIt() {
        isTrustedAfter("a", 10, 7);
        isTrustedAfter("a", 10, 8);
        assertFalse(isTrustedAfter("a", 10, 9));
    }

    /** The health check of a ready backend server may fail, or be refused, for a long time. */
    @Test
    void heartbeatThatWasSentAfterTheStartIsTrusted() {
        assertFalse(isTrustedAfter("a", 10, 7));
        mChecks.get(0).accept(Optional.of(new HealthCheckResult("a", false)));
        mClock.advanceMillis(10_000);
        assertFalse(isTrustedAfter("a", 10, 8));
        mClock.advanceMillis(1);
        assertEquals(0, mConfirmations);
        assertTrue(isTrustedAfter("a", 10, 9));
        assertEquals(1, mConfirmations);
    }

    @Test
    void arrivalOfTheHeartbeatDecidesNotTheTimeOfTheCheck() {
        BackendHeartbeat heartbeat = heartbeat("a", 10, 7);
        mClock.advanceMillis(60_000);
        mVerifier.update(heartbeat, 9_000, PATH);
        assertFalse(mVerifier.isPassed(heartbeat));
    }

    /** Late heartbeats of two incarnations arrive, and the later one may have left as well. */
    @Test
    void laterIncarnationIsCheckedAsWell() {
        isTrustedAfter("a", 10, 7);
        assertFalse(isTrustedAfter("b", 20, 1));
        mChecks.get(1).accept(Optional.of(new HealthCheckResult("b", true)));
        assertTrue(isTrustedAfter("b", 20, 1));
        assertFalse(mVerifier.isPassed(heartbeat("a", 10, 8)));
    }

    @Test
    void incarnationThatStartsLongAfterTheNodeNeedsNoCheck() {
        mClock.advanceMillis(10_001);
        assertTrue(isTrustedAfter("b", 20, 1));
        assertEquals(0, mChecks.size());
        assertEquals(0, mConfirmations);
    }

    @Test
    void serviceWithoutHealthCheckIsTrusted() {
        BackendHeartbeat heartbeat = heartbeat("a", 10, 7);
        mVerifier.update(heartbeat, mClock.monotonicMillis(), Optional.empty());
        assertTrue(mVerifier.isPassed(heartbeat));
    }
}
