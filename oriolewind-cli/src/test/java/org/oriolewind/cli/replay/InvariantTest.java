package org.oriolewind.cli.replay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.oriolewind.cli.timeline.TimelineReader;

class InvariantTest {
    private static Trace trace(String name) throws Exception {
        Path file = Path.of(InvariantTest.class.getResource("/replay/" + name + ".jsonl").toURI());
        return new Trace(TimelineReader.read(List.of(file)));
    }

    @ParameterizedTest
    @EnumSource(Invariant.class)
    void brokenInvariantFailsOnlyItsOwnCheck(Invariant invariant) throws Exception {
        Trace trace = trace(invariant.name().toLowerCase(Locale.ROOT));
        List<Invariant> broken =
                Arrays.stream(Invariant.values()).filter(i -> !i.check(trace).isEmpty()).toList();
        assertEquals(List.of(invariant), broken);
    }

    @ParameterizedTest
    @EnumSource(Invariant.class)
    void validTraceHasNoViolations(Invariant invariant) throws Exception {
        assertEquals(List.of(), invariant.check(trace("good")));
    }

    @Test
    void violationReportsFileAndLine() throws Exception {
        List<Violation> violations = Invariant.AT_MOST_ONCE.check(trace("at_most_once"));
        assertFalse(violations.isEmpty());
        assertTrue(violations.get(0).toString().contains("at_most_once.jsonl:5"));
    }
}
