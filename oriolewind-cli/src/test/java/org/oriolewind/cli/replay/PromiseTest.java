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
import org.oriolewind.cli.timeline.Timeline;

class PromiseTest {
    private static Trace trace(String name) throws Exception {
        Path file = Path.of(PromiseTest.class.getResource("/replay/" + name + ".jsonl").toURI());
        return new Trace(Timeline.read(List.of(file)));
    }

    @ParameterizedTest
    @EnumSource(Promise.class)
    void brokenPromiseIsCaughtByItsOwnCheckAlone(Promise promise) throws Exception {
        Trace trace = trace(promise.name().toLowerCase(Locale.ROOT));
        List<Promise> broken =
                Arrays.stream(Promise.values()).filter(p -> !p.check(trace).isEmpty()).toList();
        assertEquals(List.of(promise), broken);
    }

    @ParameterizedTest
    @EnumSource(Promise.class)
    void goodTraceBreaksNothing(Promise promise) throws Exception {
        assertEquals(List.of(), promise.check(trace("good")));
    }

    @Test
    void violationNamesItsLine() throws Exception {
        List<Violation> violations = Promise.AT_MOST_ONCE.check(trace("at_most_once"));
        assertFalse(violations.isEmpty());
        assertTrue(violations.get(0).toString().contains("at_most_once.jsonl:5"));
    }
}
