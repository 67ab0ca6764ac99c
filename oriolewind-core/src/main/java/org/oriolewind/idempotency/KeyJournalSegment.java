package org.oriolewind.idempotency;

import java.io.IOException;
import java.time.Instant;
import java.util.List;
import org.oriolewind.config.ConfigException;
import org.oriolewind.config.JsonFormat;

/**
 * One object of the journal. Immutable.
 *
 * @param sequence number of the segment since the first; its slot in the ring follows from it
 * @param term term of the duty holder that wrote it
 * @param writtenAt when it was written last
 * @param entries the lines in order
 */
public record KeyJournalSegment(
        long sequence, long term, Instant writtenAt, List<KeyJournalEntry> entries) {
    /** Start of the names of these objects; the slot follows. */
    static final String PREFIX = "keys/";

    /** Copies the list. */
    public KeyJournalSegment {
        entries = List.copyOf(entries);
    }

    byte[] encode() {
        try {
            return JsonFormat.mapper().writeValueAsBytes(this);
        } catch (IOException e) {
            throw new IllegalStateException("a record can be written", e);
        }
    }

    static KeyJournalSegment decode(byte[] json) throws ConfigException {
        try {
            return JsonFormat.mapper().readValue(json, KeyJournalSegment.class);
        } catch (IOException e) {
            throw new ConfigException("platform", "key segment can't be read", e);
        }
    }
}
