package org.oriolewind.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * An object API in memory, for tests and stand-ins, with faults to order. Safe for use by several
 * threads.
 */
public final class MemoryObjectStore implements ObjectStore {
    private static final int MAX_VALUE_BYTES = 1_000_000;
    private static final String PEER = "memory";

    private final TreeMap<String, StoredObject> mObjects = new TreeMap<>();
    private long mRevision;
    private long mCompactedRevision;
    private boolean mOutage;
    private int mAnswersToLose;
    private int mWritesUntilOutage = Integer.MAX_VALUE;
    private long mReads;
    private long mWrites;
    private long mWatches;

    @Override
    public synchronized Optional<StoredObject> get(String key) throws PlatformException {
        mReads++;
        checkUp("get " + key);
        return Optional.ofNullable(mObjects.get(key)).filter(o -> o.value().isPresent());
    }

    @Override
    public synchronized long put(String key, byte[] value, long expectedVersion)
            throws PlatformException {
        String step = "put " + key;
        mWrites++;
        checkUp(step);
        if (value.length > MAX_VALUE_BYTES) {
            throw new PlatformException(
                    PlatformException.Kind.TOO_LARGE, step, PEER, "value is too large", null);
        }
        StoredObject known = mObjects.get(key);
        long version = known == null ? ABSENT : known.version();
        if (version != expectedVersion) {
            throw new PlatformException(
                    PlatformException.Kind.CONFLICT, step, PEER, "version is " + version, null);
        }
        mRevision++;
        mObjects.put(key, new StoredObject(key, mRevision, Optional.of(value.clone())));
        notifyAll();
        mWritesUntilOutage--;
        if (mWritesUntilOutage == 0) {
            mOutage = true;
        }
        if (mAnswersToLose > 0) {
            mAnswersToLose--;
            throw new PlatformException(
                    PlatformException.Kind.OUTCOME_UNKNOWN, step, PEER, "answer was lost", null);
        }
        return mRevision;
    }

    @Override
    public synchronized WatchBatch list(String prefix) throws PlatformException {
        mReads++;
        checkUp("list " + prefix);
        return new WatchBatch(mRevision, changed(prefix, 0));
    }

    @Override
    public synchronized WatchBatch watch(String prefix, long afterRevision, Duration wait)
            throws PlatformException {
        mWatches++;
        long endNanos = System.nanoTime() + wait.toNanos();
        while (true) {
            checkUp("watch " + prefix);
            if (afterRevision < mCompactedRevision) {
                throw new PlatformException(
                        PlatformException.Kind.COMPACTED, "watch " + prefix, PEER, "too old", null);
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

    private void checkUp(String step) throws PlatformException {
        if (mOutage) {
            throw new PlatformException(
                    PlatformException.Kind.UNAVAILABLE, step, PEER, "outage", null);
        }
    }

    /**
     * Starts or ends an outage. Waiting watches fail.
     *
     * @param outage whether all calls fail
     */
    public synchronized void setOutage(boolean outage) {
        mOutage = outage;
        notifyAll();
    }

    /**
     * Starts an outage right after some more writes have taken effect.
     *
     * @param writes the number of writes
     */
    public synchronized void setOutageAfterWrites(int writes) {
        mWritesUntilOutage = writes;
    }

    /**
     * Loses the answers of the next writes after they have taken effect.
     *
     * @param count the number of answers
     */
    public synchronized void loseAnswers(int count) {
        mAnswersToLose = count;
    }

    /** Forgets the history, so that watches from before have to list again. */
    public synchronized void compact() {
        mCompactedRevision = mRevision;
        notifyAll();
    }

    /**
     * Returns the calls served or refused so far.
     *
     * @return the counts
     */
    public synchronized Counts counts() {
        return new Counts(mReads, mWrites, mWatches);
    }

    /**
     * Calls since the start. Immutable.
     *
     * @param reads reads and lists
     * @param writes conditional writes, those in conflict included
     * @param watches waiting watches
     */
    public record Counts(long reads, long writes, long watches) {}
}
