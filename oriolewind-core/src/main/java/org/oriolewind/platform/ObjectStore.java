package org.oriolewind.platform;

import java.time.Duration;
import java.util.Optional;

/**
 * The platform's object API. Calls block until the platform responds or a timeout expires.
 * Implementations are thread-safe.
 */
public interface ObjectStore {
    /** The expected version of an object that must not exist yet. */
    long ABSENT = 0;

    /**
     * Reads an object.
     *
     * @param key the object's name
     * @return the object, empty if there is none
     * @throws PlatformException if the platform can't be reached or refuses the call
     */
    Optional<StoredObject> get(String key) throws PlatformException;

    /**
     * Writes an object if it still has the expected version.
     *
     * @param key the object's name
     * @param value the new content, at most one megabyte
     * @param expectedVersion the version that was read, or {@link #ABSENT}
     * @return the object's new version
     * @throws PlatformException with {@code CONFLICT} if the object has another version
     */
    long put(String key, byte[] value, long expectedVersion) throws PlatformException;

    /**
     * Reads all objects whose names start with a prefix.
     *
     * @param prefix the prefix of the names
     * @return the objects and the revision at which they were read
     * @throws PlatformException if the platform can't be reached or refuses the call
     */
    WatchBatch list(String prefix) throws PlatformException;

    /**
     * Waits for changes of objects.
     *
     * @param prefix the prefix of the names
     * @param afterRevision the revision up to which the caller has all changes
     * @param wait the longest time to wait for a change
     * @return the changes, empty if there were none within that time
     * @throws PlatformException with {@code COMPACTED} if the revision is too old, so that the
     *     caller has to list again
     */
    WatchBatch watch(String prefix, long afterRevision, Duration wait) throws PlatformException;
}
