package org.oriolewind.lease;

import java.io.IOException;
import org.oriolewind.config.JsonFormat;

/**
 * A lease as the platform stores it. Immutable.
 *
 * @param holder the holder's node name
 * @param incarnation the holder's incarnation
 * @param address the holder's peer address
 * @param term grows by one with each change of the holder
 * @param renewals number of renewals in this term
 */
public record LeaseRecord(
        String holder, long incarnation, String address, long term, long renewals) {
    /** Start of the names of lease objects; the duty's name follows. */
    public static final String PREFIX = "lease/";

    byte[] encode() {
        try {
            return JsonFormat.mapper().writeValueAsBytes(this);
        } catch (IOException e) {
            throw new IllegalStateException("a record can be written", e);
        }
    }

    static LeaseRecord decode(byte[] json) throws IOException {
        return JsonFormat.mapper().readValue(json, LeaseRecord.class);
    }
}
