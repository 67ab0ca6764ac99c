package org.oriolewind.idempotency;

import java.io.IOException;
import java.time.Instant;
import java.util.List;
import org.oriolewind.config.ConfigException;
import org.oriolewind.config.JsonFormat;

/**
 * A segment of the key journal, stored as one object. Immutable.
 *
 * @param sequence number of the segment, which determines its slot in the ring
 * @param term term of the lease holder that wrote the segment
 * @param writtenAt time of the last write
 * @param entries the entries in the order in which they were appended
 */
public record KeyJournalSegment(
        long sequence, long term, Instant writtenAt, List<KeyJournalEntry> entries) {
    /** Prefix of the object names; the slot number follows. */
    static final String PREFIX = "keys/";

    /** Copies the list of entries. */
    public KeyJournalSegment {
        entries = List.copyOf(entries);
    }

    byte[] encode() {
        try {
            return JsonFormat.mapper().writeValueAsBytes(this);
        } catch (IOException e) {
            throw new IllegalStateException("key journal segment cannot be encoded", e);
        }
    }

    static KeyJournalSegment decode(byte[] json) throws ConfigException {
        try {
            return JsonFormat.mapper().readValue(json, KeyJournalSegment.class);
        } catch (IOException e) {
            throw new ConfigException("platform", "key journal segment cannot be decoded", e);
        }
    }
}
