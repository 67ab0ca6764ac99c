package org.oriolewind.config;

import java.io.IOException;
import java.util.TreeMap;
import org.oriolewind.platform.ObjectStore;
import org.oriolewind.platform.StoredObject;

/**
 * The head of the configuration: the single object of the platform that holds the version in force.
 * Immutable.
 *
 * @param objectVersion the object's version at the platform, {@link ObjectStore#ABSENT} if there is
 *     no object yet
 * @param config the configuration
 */
public record ConfigHead(long objectVersion, MeshConfig config) {
    /** The object's name at the platform. */
    public static final String KEY = "mesh/config";

    /** The head before the first note is published. */
    public static final ConfigHead NONE = new ConfigHead(ObjectStore.ABSENT, MeshConfig.EMPTY);

    /**
     * Decodes and checks a stored head.
     *
     * @param stored the object, not deleted
     * @param peer the platform's address, for the error message
     * @return the head with the compiled configuration
     * @throws ConfigException if the content can't be read or is not valid
     */
    public static ConfigHead decode(StoredObject stored, String peer) throws ConfigException {
        try {
            byte[] value = stored.value().orElseThrow(() -> new IOException("object is deleted"));
            ConfigSnapshot snapshot = JsonFormat.mapper().readValue(value, ConfigSnapshot.class);
            ConfigSnapshot copy =
                    new ConfigSnapshot(
                            snapshot.version(),
                            new TreeMap<>(snapshot.entries()),
                            snapshot.digest());
            return new ConfigHead(stored.version(), MeshConfig.compile(copy, peer));
        } catch (IOException e) {
            throw new ConfigException(peer, "stored configuration cannot be read", e);
        }
    }

    /**
     * Encodes a configuration in its stored form.
     *
     * @return JSON in UTF-8
     * @throws ConfigException if the result is larger than {@link NoteReader#MAX_NOTE_BYTES}
     */
    public static byte[] encode(MeshConfig config) throws ConfigException {
        try {
            byte[] json = JsonFormat.mapper().writeValueAsBytes(config.snapshot());
            if (json.length > NoteReader.MAX_NOTE_BYTES) {
                throw new ConfigException(
                        "local", "configuration of " + json.length + " bytes is too large", null);
            }
            return json;
        } catch (IOException e) {
            throw new ConfigException("local", "configuration cannot be written", e);
        }
    }
}
