package org.oriolewind.config;

import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The change from one configuration version to a later one. Immutable.
 *
 * @param fromVersion the version that the delta applies to
 * @param version the version that results
 * @param puts entries that are new or changed
 * @param removes keys of entries that were removed
 * @param digest the digest of the complete later version
 */
public record ConfigDelta(
        long fromVersion,
        long version,
        Map<String, String> puts,
        Set<String> removes,
        String digest) {
    /** Copies the collections in key order. */
    public ConfigDelta {
        puts = Collections.unmodifiableMap(new TreeMap<>(puts));
        removes = Collections.unmodifiableSet(new TreeSet<>(removes));
    }

    /**
     * Applies the delta.
     *
     * @param base the version to change
     * @return the later version; empty if the base is not {@code fromVersion} or the digest of the
     *     result does not match
     */
    public Optional<ConfigSnapshot> applyTo(ConfigSnapshot base) {
        if (base.version() != fromVersion) {
            return Optional.empty();
        }
        TreeMap<String, String> entries = new TreeMap<>(base.entries());
        entries.keySet().removeAll(removes);
        entries.putAll(puts);
        ConfigSnapshot result = new ConfigSnapshot(version, entries, digest);
        return result.isIntact() ? Optional.of(result) : Optional.empty();
    }
}
