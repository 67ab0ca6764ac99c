package org.oriolewind.cli.timeline;

import java.time.Instant;
import java.time.format.DateTimeParseException;

/**
 * One line of a process's log. Immutable.
 *
 * @param timestamp the time of day, as logged
 * @param process the process, or the file's name where lines don't name one
 * @param message the message
 */
public record LogLine(String timestamp, String process, String message) {
    /**
     * Returns the time of day.
     *
     * @return the time, the earliest there is if the line holds none
     */
    public Instant instant() {
        try {
            return Instant.parse(timestamp);
        } catch (DateTimeParseException e) {
            return Instant.MIN;
        }
    }

    /**
     * Returns the line for a person.
     *
     * @return time, process and message
     */
    public String text() {
        return timestamp + " " + process + " " + message;
    }

    /**
     * Returns whether the line tells the end of a request: its id, method, host and path, then the
     * outcome and the time it took.
     *
     * @param id the request's id
     * @return true if it does
     */
    public boolean endsRequest(String id) {
        return message.startsWith("request " + id + " ") && message.contains(" ms: route ");
    }
}
