package org.oriolewind.platform;

import java.util.List;

/**
 * The objects that changed after a revision, each in its latest state. Immutable.
 *
 * @param revision the revision of the platform up to which the batch is complete
 * @param objects the objects, empty if nothing changed while the watch waited
 */
public record WatchBatch(long revision, List<StoredObject> objects) {
    /** Copies the list of objects. */
    public WatchBatch {
        objects = List.copyOf(objects);
    }
}
