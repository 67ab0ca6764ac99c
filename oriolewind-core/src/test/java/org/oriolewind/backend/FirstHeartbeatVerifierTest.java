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

class FirstHeartbeatVerifierTest {
    private static final Optional<String> PATH = Optional.of("/health");

    private final FakeClock mClock = new FakeClock();
    private final List<Consumer<Optional<HealthCheckResult>>> mChecks = new ArrayList<>();
    private final FirstHeartbeatVerifier mVerifier =
            new FirstHeartbeatVerifier(mClock, 1500, (path, done) -> mChecks.add(done), () -> {});

    private static BackendHeartbeat heartbeat(String id, long startedMillis, long sequence) {
        return new BackendHeartbeat(
                id, startedMillis, "10.0.0.1:80", "s", "v1", 6, false, sequence, 0);
    }

    private boolean isTrustedAfter(String id, long startedMillis, long sequence) {
        BackendHeartbeat heartbeat = heartbeat(id, startedMillis, sequence);
        mVerifier.update(heartbeat, PATH);
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

    @Test
    void continuousHeartbeatsReplaceAFailedHealthCheck() {
        for (int sequence = 7; sequence <= 8; sequence++) {
            assertFalse(isTrustedAfter("a", 10, sequence));
            mChecks.get(sequence - 7).accept(Optional.of(new HealthCheckResult("a", false)));
            mClock.advanceMillis(1500);
        }
        assertTrue(isTrustedAfter("a", 10, 9));
    }

    @Test
    void heartbeatsThatWereDelayedTogetherDoNotReplaceIt() {
        isTrustedAfter("a", 10, 7);
        isTrustedAfter("a", 10, 8);
        assertFalse(isTrustedAfter("a", 10, 9));
    }

    @Test
    void backendServerThatStartsLaterNeedsNoCheck() {
        isTrustedAfter("a", 10, 7);
        assertTrue(isTrustedAfter("b", 20, 1));
        assertEquals(1, mChecks.size());
    }

    @Test
    void serviceWithoutHealthCheckIsTrusted() {
        mVerifier.update(heartbeat("a", 10, 7), Optional.empty());
        assertTrue(mVerifier.isPassed(heartbeat("a", 10, 7)));
    }
}
