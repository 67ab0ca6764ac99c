package org.oriolewind.cli.timeline;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.oriolewind.config.JsonFormat;

/** Reads the events of many processes and merges them in time order. Stateless. */
public final class TimelineReader {
    private TimelineReader() {}

    /**
     * Reads files with one JSON object per line. Lines that are not events are skipped.
     *
     * @param files the files, in any order
     * @return the events ordered by hybrid time, then by node name; empty if there are none
     * @throws IOException if a file can't be read
     */
    public static List<TimelineEvent> read(List<Path> files) throws IOException {
        List<TimelineEvent> events = new ArrayList<>();
        for (Path file : files) {
            readFile(file, events);
        }
        events.sort(
                Comparator.comparingLong(TimelineEvent::hybrid).thenComparing(TimelineEvent::node));
        return events;
    }

    private static void readFile(Path file, List<TimelineEvent> events) throws IOException {
        try (BufferedReader reader = Files.newBufferedReader(file)) {
            int lineNumber = 0;
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                lineNumber++;
                addIfEvent(file, lineNumber, line, events);
            }
        }
    }

    private static void addIfEvent(
            Path file, int lineNumber, String line, List<TimelineEvent> events) {
        try {
            JsonNode json = JsonFormat.mapper().readTree(line);
            if (json != null && json.has("kind") && json.has("hybrid") && json.has("node")) {
                events.add(
                        new TimelineEvent(
                                json.get("hybrid").asLong(),
                                json.get("node").asText(),
                                file.getFileName().toString(),
                                lineNumber,
                                json));
            }
        } catch (JsonProcessingException e) {
            // A process that was killed may leave a truncated last line, which is not an event.
            return;
        }
    }
}
