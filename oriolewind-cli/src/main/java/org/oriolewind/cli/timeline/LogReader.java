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
import java.util.function.Predicate;
import org.oriolewind.config.JsonFormat;

/**
 * Reads the logs of many processes: one file per process with a JSON object per line, or a combined
 * file in which a time and the process name precede the JSON object of each line. Stateless.
 */
public final class LogReader {
    private LogReader() {}

    /**
     * Reads the lines that contain {@code request ID} followed by a space, so that an id does not
     * match a longer one that begins with it.
     *
     * @param id the request's id
     * @param files the files, in any order
     * @return the lines ordered by timestamp, lines without one first; empty if none matches
     * @throws IOException if a file can't be read
     */
    public static List<LogLine> readRequest(String id, List<Path> files) throws IOException {
        return readMatching(line -> line.contains("request " + id + " "), files);
    }

    /**
     * Reads all lines that contain a JSON object, also a truncated one.
     *
     * @param files the files, in any order
     * @return the lines ordered by timestamp, lines without one first
     * @throws IOException if a file can't be read
     */
    public static List<LogLine> readAll(List<Path> files) throws IOException {
        return readMatching(line -> true, files);
    }

    private static List<LogLine> readMatching(Predicate<String> filter, List<Path> files)
            throws IOException {
        List<LogLine> lines = new ArrayList<>();
        for (Path file : files) {
            try (BufferedReader reader = Files.newBufferedReader(file)) {
                for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                    if (filter.test(line)) {
                        parseLine(file, line, lines);
                    }
                }
            }
        }
        lines.sort(Comparator.comparing(LogLine::instant));
        return lines;
    }

    private static void parseLine(Path file, String line, List<LogLine> lines) {
        int jsonStart = line.indexOf('{');
        if (jsonStart < 0) {
            return;
        }
        String[] prefix = line.substring(0, jsonStart).trim().split("\\s+");
        String process =
                prefix[prefix.length - 1].isEmpty()
                        ? file.getFileName().toString()
                        : prefix[prefix.length - 1];
        try {
            JsonNode json = JsonFormat.mapper().readTree(line.substring(jsonStart));
            lines.add(
                    new LogLine(json.path("at").asText(), process, json.path("message").asText()));
        } catch (JsonProcessingException e) {
            // A process that was killed may leave a truncated last line; its text is still shown.
            lines.add(new LogLine("", process, line.substring(jsonStart)));
        }
    }
}
