package org.oriolewind.node.log;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collection;
import java.util.EnumSet;
import java.util.Map;
import org.oriolewind.config.JsonFormat;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.Writer;

/**
 * A tinylog writer that prints each log entry as one line of JSON to standard error. Registered as
 * {@code json lines} in {@code tinylog.properties}. Thread-safe.
 */
public final class JsonLinesWriter implements Writer {
    /**
     * Creates a writer. Called by tinylog.
     *
     * @param properties properties of the writer, all ignored
     */
    public JsonLinesWriter(Map<String, String> properties) {
        // The writer has no properties.
    }

    @Override
    public Collection<LogEntryValue> getRequiredLogEntryValues() {
        return EnumSet.of(
                LogEntryValue.DATE,
                LogEntryValue.LEVEL,
                LogEntryValue.CLASS,
                LogEntryValue.MESSAGE,
                LogEntryValue.EXCEPTION);
    }

    @Override
    public void write(LogEntry entry) {
        ObjectNode line = JsonFormat.mapper().createObjectNode();
        line.put("at", entry.getTimestamp().toInstant().toString());
        line.put("level", entry.getLevel().name());
        line.put("class", entry.getClassName());
        line.put("message", entry.getMessage());
        if (entry.getException() != null) {
            line.put("error", entry.getException().toString());
        }
        try {
            System.err.println(JsonFormat.mapper().writeValueAsString(line));
        } catch (JsonProcessingException e) {
            System.err.println(e.getMessage());
        }
    }

    @Override
    public void flush() {
        System.err.flush();
    }

    @Override
    public void close() {
        flush();
    }
}
