package org.oriolewind.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * An object store in memory, for tests and stand-ins, in which faults can be injected. Thread-safe.
 */
public final class MemoryObjectStore implements ObjectStore {
    private static final int MAX_VALUE_BYTES = 1_000_000;
    private static final String PEER = "memory";

    private final TreeMap<String, StoredObject> mObjects = new TreeMap<>();
    private long mRevision;
    private long mCompactedRevision;
    private boolean mOutage;
    private int mResponsesToLose;
    private int mWritesUntilOutage = Integer.MAX_VALUE;
    private long mReads;
    private long mWrites;
    private long mWatches;

    @Override
    public synchronized Optional<StoredObject> get(String key) throws PlatformException {
        mReads++;
        checkAvailable("get " + key);
        return Optional.ofNullable(mObjects.get(key)).filter(o -> o.value().isPresent());
    }

    @Override
    public synchronized long put(String key, byte[] value, long expectedVersion)
            throws PlatformException {
        String operation = "put " + key;
        mWrites++;
        checkAvailable(operation);
        if (value.length > MAX_VALUE_BYTES) {
            throw new PlatformException(
                    PlatformException.Kind.TOO_LARGE, operation, PEER, "value is too large", null);
        }
        StoredObject current = mObjects.get(key);
        long version = current == null ? ABSENT : current.version();
        if (version != expectedVersion) {
            throw new PlatformException(
                    PlatformException.Kind.CONFLICT,
                    operation,
                    PEER,
                    "version is " + version,
                    null);
        }
        mRevision++;
        mObjects.put(key, new StoredObject(key, mRevision, Optional.of(value.clone())));
        notifyAll();
        mWritesUntilOutage--;
        if (mWritesUntilOutage == 0) {
            mOutage = true;
        }
        if (mResponsesToLose > 0) {
            mResponsesToLose--;
            throw new PlatformException(
                    PlatformException.Kind.OUTCOME_UNKNOWN,
                    operation,
                    PEER,
                    "response was lost",
                    null);
        }
        return mRevision;
    }

    @Override
    public synchronized WatchBatch list(String prefix) throws PlatformException {
        mReads++;
        checkAvailable("list " + prefix);
        return new WatchBatch(mRevision, changed(prefix, 0));
    }

    @Override
    public synchronized WatchBatch watch(String prefix, long afterRevision, Duration wait)
            throws PlatformException {
        mWatches++;
        long endNanos = System.nanoTime() + wait.toNanos();
        while (true) {
            checkAvailable("watch " + prefix);
            if (afterRevision < mCompactedRevision) {
                throw new PlatformException(
                        PlatformException.Kind.COMPACTED,
                        "watch " + prefix,
                        PEER,
                        "revision is too old",
                        null);
            }
            List<StoredObject> changes = changed(prefix, afterRevision);
            long leftMillis = (endNanos - System.nanoTime()) / 1_000_000L;
            if (!changes.isEmpty() || leftMillis <= 0) {
                return new WatchBatch(mRevision, changes);
            }
            awaitChange(leftMillis);
        }
    }

    private void awaitChange(long millis) throws PlatformException {
        try {
            wait(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new PlatformException(
                    PlatformException.Kind.UNAVAILABLE, "watch", PEER, "interrupted", e);
        }
    }

    private List<StoredObject> changed(String prefix, long afterRevision) {
        List<StoredObject> changes = new ArrayList<>();
        for (Map.Entry<String, StoredObject> entry : mObjects.tailMap(prefix).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            if (entry.getValue().version() > afterRevision) {
                changes.add(entry.getValue());
            }
        }
        return changes;
    }

    private void checkAvailable(String operation) throws PlatformException {
        if (mOutage) {
            throw new PlatformException(
                    PlatformException.Kind.UNAVAILABLE, operation, PEER, "outage", null);
        }
    }

    /**
     * Starts or ends an outage. During an outage all calls fail, waiting watches included.
     *
     * @param outage whether all calls fail
     */
    public synchronized void setOutage(boolean outage) {
        mOutage = outage;
        notifyAll();
    }

    /**
     * Starts an outage after some more writes have succeeded.
     *
     * @param writes the number of writes, at least 1
     */
    public synchronized void setOutageAfterWrites(int writes) {
        mWritesUntilOutage = writes;
    }

    /**
     * Loses the responses of the next writes after these have taken effect.
     *
     * @param count the number of responses, 0 for none
     */
    public synchronized void loseResponses(int count) {
        mResponsesToLose = count;
    }

    /** Discards the history, so that watches from an earlier revision have to list again. */
    public synchronized void compact() {
        mCompactedRevision = mRevision;
        notifyAll();
    }

    /**
     * Returns the numbers of calls so far.
     *
     * @return the counts, failed calls included
     */
    public synchronized Counts counts() {
        return new Counts(mReads, mWrites, mWatches);
    }

    /**
     * Numbers of calls since the start. Immutable.
     *
     * @param reads calls that read or list objects
     * @param writes conditional writes, those with a conflict included
     * @param watches calls that wait for changes
     */
    public record Counts(long reads, long writes, long watches) {}
}
