package org.oriolewind.config;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Collections;
import java.util.HexFormat;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * A complete configuration version in its stored form: entries of JSON text by key, and a digest of
 * version and entries. Immutable. In a damaged snapshot the digest does not match; see {@link
 * #isIntact()}.
 *
 * @param version the configuration version, at least 1
 * @param entries JSON texts by key, such as {@code service/NAME}
 * @param digest SHA-256 in hexadecimal
 */
public record ConfigSnapshot(long version, SortedMap<String, String> entries, String digest) {
    /** Wraps the map, which must not be changed afterwards. */
    public ConfigSnapshot {
        entries = Collections.unmodifiableSortedMap(entries);
    }

    /**
     * Creates a snapshot and computes its digest.
     *
     * @param version the configuration version
     */
    public static ConfigSnapshot of(long version, SortedMap<String, String> entries) {
        return new ConfigSnapshot(version, entries, computeDigest(version, entries));
    }

    /**
     * Computes the digest again and compares it.
     *
     * @return false if the snapshot is damaged
     */
    public boolean isIntact() {
        return computeDigest(version, entries).equals(digest);
    }

    /**
     * Returns the difference between an earlier version and this one.
     *
     * @param base the earlier version
     * @return the delta that turns the earlier version into this one
     */
    public ConfigDelta since(ConfigSnapshot base) {
        TreeMap<String, String> puts = new TreeMap<>();
        for (Map.Entry<String, String> entry : entries.entrySet()) {
            if (!entry.getValue().equals(base.entries.get(entry.getKey()))) {
                puts.put(entry.getKey(), entry.getValue());
            }
        }
        TreeMap<String, String> gone = new TreeMap<>(base.entries);
        gone.keySet().removeAll(entries.keySet());
        return new ConfigDelta(base.version, version, puts, gone.keySet(), digest);
    }

    private static String computeDigest(long version, SortedMap<String, String> entries) {
        MessageDigest sha = Sha256.newDigest();
        sha.update(Long.toString(version).getBytes(StandardCharsets.US_ASCII));
        for (Map.Entry<String, String> entry : entries.entrySet()) {
            sha.update((byte) 0);
            sha.update(entry.getKey().getBytes(StandardCharsets.UTF_8));
            sha.update((byte) 0);
            sha.update(entry.getValue().getBytes(StandardCharsets.UTF_8));
        }
        return HexFormat.of().formatHex(sha.digest());
    }
}
