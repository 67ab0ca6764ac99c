package org.oriolewind.node.log;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

class ShutdownHookTest {
    /**
     * Guards against the loss of all log lines after SIGTERM, including the decision on a rollout:
     * the shutdown hook of tinylog runs concurrently with that of the program.
     */
    @Test
    void linesLoggedAfterTheStopSignalAreWritten() throws Exception {
        Process process =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-cp",
                                System.getProperty("java.class.path"),
                                LoggingProgram.class.getName())
                        .redirectErrorStream(true)
                        .start();
        try (BufferedReader lines =
                new BufferedReader(
                        new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            String started = lines.readLine();
            // Process.destroy would also close the output stream that is read here.
            process.toHandle().destroy();
            String rest = lines.lines().collect(Collectors.joining("\n"));
            assertTrue(rest.contains("stopped"), started + "\n" + rest);
        } finally {
            process.destroyForcibly();
        }
    }
}
