package org.oriolewind.cli.timeline;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One event of a trace, as its process wrote it. Immutable.
 *
 * @param hybrid the timestamp of the hybrid logical clock
 * @param node the name of the node that wrote the event
 * @param file the name of the file that contains the event, without its directory
 * @param lineNumber the line in the file, from 1
 * @param json the whole line
 */
public record TimelineEvent(long hybrid, String node, String file, int lineNumber, JsonNode json) {
    /**
     * Returns the value of a field as text.
     *
     * @param field the field's name
     * @return the text, empty if the field is absent or null
     */
    public String text(String field) {
        JsonNode value = json.get(field);
        return value == null || value.isNull() ? "" : value.asText();
    }

    /**
     * Returns the value of a field as a number.
     *
     * @param field the field's name
     * @return the number, 0 if the field is absent or not numeric
     */
    public long number(String field) {
        JsonNode value = json.get(field);
        return value == null ? 0 : value.asLong();
    }

    /** Returns the file and line of the event, as {@code file:line}. */
    public String location() {
        return file + ":" + lineNumber;
    }
}
