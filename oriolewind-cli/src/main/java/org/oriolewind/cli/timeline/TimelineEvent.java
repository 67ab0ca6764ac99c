package org.oriolewind.cli.timeline;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One event of a trace, as its process wrote it. Immutable.
 *
 * @param hybrid the hybrid logical time
 * @param node the process's name
 * @param file the file that it stands in
 * @param lineNumber its line, from 1
 * @param json the whole line
 */
public record TimelineEvent(long hybrid, String node, String file, int lineNumber, JsonNode json) {
    /**
     * Returns a field.
     *
     * @param field the field's name
     * @return its text, empty if the event has no such field
     */
    public String text(String field) {
        JsonNode value = json.get(field);
        return value == null || value.isNull() ? "" : value.asText();
    }

    /**
     * Returns a number.
     *
     * @param field the field's name
     * @return its value, 0 if the event has no such field
     */
    public long number(String field) {
        JsonNode value = json.get(field);
        return value == null ? 0 : value.asLong();
    }

    /**
     * Returns where the event stands.
     *
     * @return file and line
     */
    public String location() {
        return file + ":" + lineNumber;
    }
}
