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
    private final FirstHeartbeatVerifier mCheck =
            new FirstHeartbeatVerifier(mClock, 1500, (path, done) -> mChecks.add(done), () -> {});

    private static BackendHeartbeat report(String id, long born, long sequence) {
        return new BackendHeartbeat(id, born, "10.0.0.1:80", "s", "v1", 6, false, sequence, 0);
    }

    private boolean hear(String id, long born, long sequence) {
        BackendHeartbeat report = report(id, born, sequence);
        mCheck.update(report, PATH);
        return mCheck.isPassed(report);
    }

    /**
     * Fault pattern: a node is restarted right after it acknowledged that its backend server
     * leaves, and a heartbeat from before arrives late at the new process.
     */
    @ParameterizedTest
    @CsvSource({"a,false", "b,true", "b,false"})
    void lateHeartbeatOfABackendServerThatLeftIsNotTrusted(String answering, boolean serving) {
        assertFalse(hear("a", 10, 7));
        mChecks.get(0).accept(Optional.of(new HealthCheckResult(answering, serving)));
        mClock.advanceMillis(5000);
        assertFalse(hear("a", 10, 7));
        assertFalse(hear("a", 10, 6));
    }

    @Test
    void backendServerThatAnswersIsUsedAtOnce() {
        assertFalse(hear("a", 10, 7));
        mChecks.get(0).accept(Optional.of(new HealthCheckResult("a", true)));
        assertTrue(hear("a", 10, 7));
        assertEquals(1, mChecks.size());
    }

    @Test
    void checkWithoutAnswerIsMadeAgainAfterAPause() {
        hear("a", 10, 7);
        mChecks.get(0).accept(Optional.empty());
        hear("a", 10, 7);
        assertEquals(1, mChecks.size());
        mClock.advanceMillis(300);
        hear("a", 10, 7);
        assertEquals(2, mChecks.size());
    }

    @Test
    void heartbeatsThatGoOnMakeUpForAFalseHealthCheck() {
        for (int sequence = 7; sequence <= 8; sequence++) {
            assertFalse(hear("a", 10, sequence));
            mChecks.get(sequence - 7).accept(Optional.of(new HealthCheckResult("a", false)));
            mClock.advanceMillis(1500);
        }
        assertTrue(hear("a", 10, 9));
    }

    @Test
    void heartbeatsThatWereHeldUpTogetherDoNot() {
        hear("a", 10, 7);
        hear("a", 10, 8);
        assertFalse(hear("a", 10, 9));
    }

    @Test
    void backendServerThatStartsLaterNeedsNoCheck() {
        hear("a", 10, 7);
        assertTrue(hear("b", 20, 1));
        assertEquals(1, mChecks.size());
    }

    @Test
    void serviceWithoutHealthCheckIsTrusted() {
        mCheck.update(report("a", 10, 7), Optional.empty());
        assertTrue(mCheck.isPassed(report("a", 10, 7)));
    }
}
