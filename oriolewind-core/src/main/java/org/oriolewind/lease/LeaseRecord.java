package org.oriolewind.lease;

import java.io.IOException;
import org.oriolewind.config.JsonFormat;

/**
 * The stored form of a lease, a JSON object with a key for each component. Immutable.
 *
 * @param holder name of the node that holds the lease
 * @param incarnation incarnation of the holder when it acquired the lease
 * @param address peer address of the holder, as {@code host:port}
 * @param term fencing token, one greater after each change of the holder
 * @param renewals number of renewals in this term; each changes the object, so that observers can
 *     tell a renewed lease from an expired one
 */
public record LeaseRecord(
        String holder, long incarnation, String address, long term, long renewals) {
    /** Prefix of the keys of lease objects; the lease's name follows. */
    public static final String PREFIX = "lease/";

    byte[] encode() {
        try {
            return JsonFormat.mapper().writeValueAsBytes(this);
        } catch (IOException e) {
            throw new IllegalStateException("lease record cannot be encoded as JSON", e);
        }
    }

    static LeaseRecord decode(byte[] json) throws IOException {
        return JsonFormat.mapper().readValue(json, LeaseRecord.class);
    }
}
