package org.oriolewind.cli.timeline;

import java.time.Instant;
import java.time.format.DateTimeParseException;

/**
 * One log line of a process. Immutable.
 *
 * @param timestamp the time in ISO 8601 format as logged, empty if the line has none
 * @param process the name of the process, or of the file if the line does not name a process
 * @param message the log message, or the raw text of a truncated line
 */
public record LogLine(String timestamp, String process, String message) {
    /**
     * Returns the parsed timestamp, or {@link Instant#MIN} if the line has no valid one, so that
     * such lines are sorted first.
     */
    public Instant instant() {
        try {
            return Instant.parse(timestamp);
        } catch (DateTimeParseException e) {
            return Instant.MIN;
        }
    }

    /** Returns timestamp, process and message, separated by spaces, as the operator sees them. */
    public String text() {
        return timestamp + " " + process + " " + message;
    }

    /**
     * Returns whether the line reports the end of a request. Such a line has the request's id,
     * method, host and path, then the outcome and the duration in milliseconds.
     *
     * @param id the request's id
     */
    public boolean endsRequest(String id) {
        return message.startsWith("request " + id + " ") && message.contains(" ms: route ");
    }
}
