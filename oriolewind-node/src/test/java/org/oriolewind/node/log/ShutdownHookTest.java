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
     * Nothing that a node logged after SIGTERM was ever written, its verdict on a trial included.
     */
    @Test
    void linesLoggedAfterTheRequestToStopAreWritten() throws Exception {
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
            // Process.destroy would close the stream that the lines come from.
            process.toHandle().destroy();
            String rest = lines.lines().collect(Collectors.joining("\n"));
            assertTrue(rest.contains("stopped"), started + "\n" + rest);
        } finally {
            process.destroyForcibly();
        }
    }
}
