package org.oriolewind.platform;

import java.util.List;

/**
 * Objects that changed since a revision, each in its latest state. Immutable.
 *
 * @param revision the platform's revision up to which the batch is complete
 * @param objects the objects, empty if nothing changed while the watch waited
 */
public record WatchBatch(long revision, List<StoredObject> objects) {
    /** Copies the list. */
    public WatchBatch {
        objects = List.copyOf(objects);
    }
}
