package org.oriolewind.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class OriolewindTest {
    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErr = new ByteArrayOutputStream();

    private ExitStatus run(String... args) {
        return Oriolewind.run(
                args,
                Map.of(),
                new PrintStream(mOut, true, StandardCharsets.UTF_8),
                new PrintStream(mErr, true, StandardCharsets.UTF_8));
    }

    @ParameterizedTest
    @CsvSource({
        "nonsense, unknown command nonsense",
        "publish, usage: oriolewind publish NOTE",
        "publish --colour, Unrecognized option: --colour",
        "data-centre away yaba, usage: oriolewind data-centre out|in NAME",
        "timeline, usage: oriolewind timeline",
        "timeline /nowhere/x.jsonl, can't read",
        "status, --platform-url",
        "status --wait --timeout-seconds soon x, must be a whole number",
        "publish /nowhere/note.json, can't read"
    })
    void badInputIsReported(String line, String expected) {
        assertEquals(ExitStatus.BAD_INPUT, run(line.split(" ")));
        assertTrue(mErr.toString(StandardCharsets.UTF_8).contains(expected), mErr::toString);
    }

    @Test
    void invalidNoteIsRejectedWithFieldPath(@TempDir Path dir) throws Exception {
        Path note = dir.resolve("note.json");
        Files.writeString(note, "{\"id\": \"n\", \"moves\": [{\"colour\": 1}]}");
        assertEquals(ExitStatus.BAD_INPUT, run("publish", note.toString()));
        assertTrue(mErr.toString(StandardCharsets.UTF_8).contains("moves[0].colour: unknown"));
    }

    @Test
    void unreachablePlatformHasItsOwnExitStatus(@TempDir Path dir) throws Exception {
        Path note = dir.resolve("note.json");
        Files.writeString(note, "{\"id\": \"n\", \"routes\": {\"withdrawn\": [\"r\"]}}");
        ExitStatus status = run("publish", "--platform-url", "http://127.0.0.1:1", note.toString());
        assertEquals(ExitStatus.UNREACHABLE, status);
        assertTrue(
                mErr.toString(StandardCharsets.UTF_8).contains("nothing was published"),
                mErr::toString);
    }

    @Test
    void helpListsCommands() {
        assertEquals(ExitStatus.OK, run("--help"));
        String help = mOut.toString(StandardCharsets.UTF_8);
        for (String name :
                new String[] {
                    "validate",
                    "publish",
                    "status",
                    "nodes",
                    "data-centre",
                    "drain",
                    "timeline",
                    "replay"
                }) {
            assertTrue(help.contains("  " + name), name);
        }
    }

    @Test
    void timelineMergesFilesAndFilters() throws Exception {
        String file =
                Path.of(OriolewindTest.class.getResource("/replay/good.jsonl").toURI()).toString();
        assertEquals(ExitStatus.OK, run("timeline", "--call", "c2", "--node", "n1", file));
        String[] lines = mOut.toString(StandardCharsets.UTF_8).split("\n");
        assertEquals(4, lines.length);
        assertTrue(lines[0].contains("CALL_BEGUN") && lines[3].contains("CALL_ANSWERED"));
    }

    @Test
    void replayOfBrokenTraceFails() throws Exception {
        String broken =
                Path.of(OriolewindTest.class.getResource("/replay/own_answer.jsonl").toURI())
                        .toString();
        assertEquals(ExitStatus.FAILED, run("replay", broken));
        assertTrue(mOut.toString(StandardCharsets.UTF_8).contains("BROKEN own-answer"));
    }
}
