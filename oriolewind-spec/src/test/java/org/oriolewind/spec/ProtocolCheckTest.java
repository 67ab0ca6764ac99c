package org.oriolewind.spec;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks the properties of the protocol in the complete model, and that each one has a
 * counterexample once its guard is removed. Without the second part a property that can't fail
 * would go unnoticed.
 */
class ProtocolCheckTest {
    @Test
    void intendedBehaviourIsReachable() throws Exception {
        assertTrue(
                ProtocolCheck.run("reachable", Optional.empty(), ProtocolCheck.CI_SCOPE),
                "no run publishes, rolls back, writes under a new term and serves calls");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "InstalledVersionNeverDecreases",
                "ServingVersionNeverDecreases",
                "HeadNeverDecreases",
                "ConfirmedVersionIsNeverLost",
                "OnePublisherPerVersion",
                "WrittenTermNeverDecreases",
                "RollbackIsNeverUndone"
            })
    void propertyHolds(String property) throws Exception {
        assertFalse(
                ProtocolCheck.run(property, Optional.empty(), ProtocolCheck.CI_SCOPE),
                "counterexample found");
    }

    @ParameterizedTest
    @CsvSource({
        "InstalledVersionNeverDecreases, newer-only",
        "HeadNeverDecreases, conditional-write",
        "ConfirmedVersionIsNeverLost, conditional-write",
        "ConfirmedVersionIsNeverLost, read-back",
        "OnePublisherPerVersion, conditional-write",
        "ServingVersionNeverDecreases, head-first",
        "WrittenTermNeverDecreases, fencing",
        "RollbackIsNeverUndone, rollback-stays",
    })
    void propertyFailsWithoutGuard(String property, String guard) throws Exception {
        assertTrue(
                ProtocolCheck.run(property, Optional.of(guard), ProtocolCheck.CI_SCOPE),
                "no counterexample although the guard is removed");
    }
}
