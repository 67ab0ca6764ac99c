package org.oriolewind.config;

import java.io.IOException;
import java.util.TreeMap;
import org.oriolewind.platform.ObjectStore;
import org.oriolewind.platform.StoredObject;

/**
 * The one object of the platform that holds the configuration in force. Immutable.
 *
 * @param objectVersion the object's version at the platform, {@link ObjectStore#ABSENT} if there is
 *     no object yet
 * @param config the configuration
 */
public record ConfigHead(long objectVersion, MeshConfig config) {
    /** The object's name at the platform. */
    public static final String KEY = "mesh/config";

    /** The head before any note was published. */
    public static final ConfigHead NONE = new ConfigHead(ObjectStore.ABSENT, MeshConfig.EMPTY);

    /**
     * Reads a stored head.
     *
     * @param stored the object, not deleted
     * @param peer the platform's address, for the error
     * @return the head
     * @throws ConfigException if the content can't be used
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
            throw new ConfigException(peer, "stored configuration can't be read", e);
        }
    }

    /**
     * Writes a configuration in its stored form.
     *
     * @param config the configuration
     * @return JSON in UTF-8
     * @throws ConfigException if the configuration is too large for the platform
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
            throw new ConfigException("local", "configuration can't be written", e);
        }
    }
}
