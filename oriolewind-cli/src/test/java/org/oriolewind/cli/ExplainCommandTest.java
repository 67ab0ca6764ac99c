package org.oriolewind.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ExplainCommandTest {
    @TempDir private Path mDir;

    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();

    private ExitStatus explain(String... arguments) {
        PrintStream out = new PrintStream(mOut, true, StandardCharsets.UTF_8);
        String[] commandLine = new String[arguments.length + 1];
        commandLine[0] = "explain";
        System.arraycopy(arguments, 0, commandLine, 1, arguments.length);
        return Oriolewind.run(commandLine, Map.of(), out, out);
    }

    private String file(String name, String... lines) throws Exception {
        return Files.write(mDir.resolve(name), List.of(lines)).toString();
    }

    @Test
    void mergesLogsAndNamesProcessThatEndedRequest() throws Exception {
        String log =
                file(
                        "all.log",
                        "  2.5 node-b {\"at\":\"2026-01-01T00:00:02Z\",\"message\":\"request r1 GET"
                                + " h/x: refused after 9 ms: route r; why\"}",
                        "  2.4 node-c {\"at\":\"2026-01-01T00:00:01Z\",\"message\":\"request r1"
                                + " retried after node-a: why\"}",
                        "  2.4 node-c {\"at\":\"2026-01-01T00:00:01Z\",\"message\":\"request r12"
                                + " retried\"}",
                        "  2.4 node-c {\"at\":\"2026-01-01T00:00:0");
        assertEquals(ExitStatus.OK, explain("r1", log));
        assertEquals(
                "2026-01-01T00:00:01Z node-c request r1 retried after node-a: why\n"
                    + "2026-01-01T00:00:02Z node-b request r1 GET h/x: refused after 9 ms: route r;"
                    + " why\n"
                    + "ended by node-b\n",
                mOut.toString(StandardCharsets.UTF_8));
    }

    @Test
    void requestMissingFromLogsFails() throws Exception {
        assertEquals(ExitStatus.FAILED, explain("r9", file("a.log", "{\"message\":\"x\"}")));
        assertTrue(mOut.toString(StandardCharsets.UTF_8).contains("no line mentions r9"));
    }

    @Test
    void missingFileIsBadInput() {
        assertEquals(ExitStatus.BAD_INPUT, explain("r9", mDir.resolve("none").toString()));
    }
}
