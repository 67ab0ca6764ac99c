package org.oriolewind.control;

import java.time.Duration;
import java.util.Optional;
import org.oriolewind.platform.ObjectStore;
import org.oriolewind.platform.PlatformException;
import org.oriolewind.platform.StoredObject;
import org.oriolewind.platform.WatchBatch;

/** A store whose watches return at once, as the fake clock does not advance while they wait. */
record NoWaitStore(ObjectStore store) implements ObjectStore {
    @Override
    public Optional<StoredObject> get(String key) throws PlatformException {
        return store.get(key);
    }

    @Override
    public long put(String key, byte[] value, long expectedVersion) throws PlatformException {
        return store.put(key, value, expectedVersion);
    }

    @Override
    public WatchBatch list(String prefix) throws PlatformException {
        return store.list(prefix);
    }

    @Override
    public WatchBatch watch(String prefix, long afterRevision, Duration wait)
            throws PlatformException {
        return store.watch(prefix, afterRevision, Duration.ZERO);
    }
}
