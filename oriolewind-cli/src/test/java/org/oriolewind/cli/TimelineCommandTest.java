package org.oriolewind.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TimelineCommandTest {
    @TempDir private Path mDir;

    /**
     * Reads a combined log, whose lines start with a time and a process name, and the log file of a
     * single process, which is named after the process.
     */
    @ParameterizedTest
    @CsvSource(
            value = {
                "| started,request r1 retried,store watch started",
                "--call r1 | request r1 retried",
                "--node node-b | store watch started",
                "--call r2 | ''",
            },
            delimiter = '|')
    void mergesLogsInTimestampOrder(String options, String messages) throws Exception {
        Path combinedLog =
                Files.write(
                        mDir.resolve("all.log"),
                        List.of(
                                "  2.5 node-b {\"at\":\"2026-01-01T00:00:02.25Z\",\"message\":"
                                        + "\"store watch started\"}",
                                "  2.4 node-a {\"at\":\"2026-01-01T00:00:02.2Z\",\"message\":"
                                        + "\"request r1 retried\"}"));
        Path processLog =
                Files.write(
                        mDir.resolve("node-c"),
                        List.of("{\"at\":\"2026-01-01T00:00:02Z\",\"message\":\"started\"}"));
        List<String> arguments = new ArrayList<>(List.of("timeline", "--logs"));
        if (options != null) {
            arguments.addAll(List.of(options.split(" ")));
        }
        arguments.add(combinedLog.toString());
        arguments.add(processLog.toString());
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PrintStream out = new PrintStream(bytes, true, StandardCharsets.UTF_8);
        String[] commandLine = arguments.toArray(new String[0]);
        assertEquals(ExitStatus.OK, Oriolewind.run(commandLine, Map.of(), out, out));
        List<String> printed =
                bytes.toString(StandardCharsets.UTF_8)
                        .lines()
                        .map(l -> l.split(" ", 3)[2])
                        .toList();
        assertEquals(messages, String.join(",", printed));
    }
}
