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
 * Reads logs of many processes: files of JSON lines, or one file in which each line begins with a
 * time and the name of its process. Stateless.
 */
public final class LogReader {
    private LogReader() {}

    /**
     * Finds the lines that mention a request.
     *
     * @param id the request's id
     * @param files the files
     * @return the lines in the order of their times
     * @throws IOException if a file can't be read
     */
    public static List<LogLine> readRequest(String id, List<Path> files) throws IOException {
        return readMatching(text -> text.contains("request " + id + " "), files);
    }

    /**
     * Reads all lines.
     *
     * @param files the files
     * @return the lines in the order of their times
     * @throws IOException if a file can't be read
     */
    public static List<LogLine> readAll(List<Path> files) throws IOException {
        return readMatching(text -> true, files);
    }

    private static List<LogLine> readMatching(Predicate<String> wanted, List<Path> files)
            throws IOException {
        List<LogLine> lines = new ArrayList<>();
        for (Path file : files) {
            try (BufferedReader reader = Files.newBufferedReader(file)) {
                for (String text = reader.readLine(); text != null; text = reader.readLine()) {
                    if (wanted.test(text)) {
                        parseLine(file, text, lines);
                    }
                }
            }
        }
        lines.sort(Comparator.comparing(LogLine::instant));
        return lines;
    }

    private static void parseLine(Path file, String text, List<LogLine> lines) {
        int json = text.indexOf('{');
        if (json < 0) {
            return;
        }
        String[] prefix = text.substring(0, json).trim().split("\\s+");
        String process =
                prefix[prefix.length - 1].isEmpty()
                        ? file.getFileName().toString()
                        : prefix[prefix.length - 1];
        try {
            JsonNode line = JsonFormat.mapper().readTree(text.substring(json));
            lines.add(
                    new LogLine(line.path("at").asText(), process, line.path("message").asText()));
        } catch (JsonProcessingException e) {
            // A process that was killed may leave half a line; what it says is still shown.
            lines.add(new LogLine("", process, text.substring(json)));
        }
    }
}
