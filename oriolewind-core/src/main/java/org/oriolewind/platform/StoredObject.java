package org.oriolewind.platform;

import java.util.Optional;

/**
 * An object of the platform as it was read. Immutable if the byte array is not changed.
 *
 * @param key the object's name
 * @param version the object's version, greater than 0, different after each write
 * @param value the content, empty if the object was deleted
 */
public record StoredObject(String key, long version, Optional<byte[]> value) {}
