package org.oriolewind.spec;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class ProtocolCheckTest {
    @Test
    void specificationAllowsWhatItIsFor() throws Exception {
        assertTrue(
                ProtocolCheck.run("reachable", Optional.empty(), ProtocolCheck.CI_SCOPE),
                "the specification forbids everything");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "NodeNeverGoesBack",
                "CallsNeverRunOnOlderAfterRestart",
                "HeadNeverGoesBack",
                "AcceptedIsNeverLost",
                "OneWinnerAVersion",
                "LapsedLeadWritesNothing",
                "TakenBackStays"
            })
    void propertyHolds(String property) throws Exception {
        assertFalse(
                ProtocolCheck.run(property, Optional.empty(), ProtocolCheck.CI_SCOPE),
                "counter-example found");
    }

    @ParameterizedTest
    @CsvSource({
        "NodeNeverGoesBack, newer-only",
        "HeadNeverGoesBack, conditional-write",
        "AcceptedIsNeverLost, conditional-write",
        "AcceptedIsNeverLost, read-back",
        "OneWinnerAVersion, conditional-write",
        "CallsNeverRunOnOlderAfterRestart, head-first",
        "LapsedLeadWritesNothing, fencing",
        "TakenBackStays, taken-back-stays",
    })
    void withoutItsGuardThePropertyFails(String property, String guard) throws Exception {
        assertTrue(
                ProtocolCheck.run(property, Optional.of(guard), ProtocolCheck.CI_SCOPE),
                "no counter-example without the guard");
    }
}
