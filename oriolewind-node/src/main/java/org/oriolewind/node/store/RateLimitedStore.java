package org.oriolewind.node.store;

import java.time.Duration;
import java.util.Optional;
import org.oriolewind.platform.ObjectStore;
import org.oriolewind.platform.PlatformException;
import org.oriolewind.platform.StoredObject;
import org.oriolewind.platform.WatchBatch;
import org.oriolewind.time.NodeClock;

/**
 * Keeps the calls of this node to the platform within a rate. A call over the rate fails at once
 * and is not sent. Safe for use by several threads.
 */
public final class RateLimitedStore implements ObjectStore {
    private static final double NANOS_PER_SECOND = 1e9;

    private final ObjectStore mStore;
    private final NodeClock mClock;
    private final double mCallsPerSecond;
    private double mTokens;
    private long mFilledNanos;
    private long mCalls;
    private long mRefused;

    /**
     * Creates a store.
     *
     * @param store the platform
     * @param clock the clock
     * @param callsPerSecond the rate; a second's worth may be used at once
     */
    public RateLimitedStore(ObjectStore store, NodeClock clock, double callsPerSecond) {
        mStore = store;
        mClock = clock;
        mCallsPerSecond = callsPerSecond;
        mTokens = callsPerSecond;
        mFilledNanos = clock.monotonicNanos();
    }

    @Override
    public Optional<StoredObject> get(String key) throws PlatformException {
        take("get " + key);
        return mStore.get(key);
    }

    @Override
    public long put(String key, byte[] value, long expectedVersion) throws PlatformException {
        take("put " + key);
        return mStore.put(key, value, expectedVersion);
    }

    @Override
    public WatchBatch list(String prefix) throws PlatformException {
        take("list " + prefix);
        return mStore.list(prefix);
    }

    @Override
    public WatchBatch watch(String prefix, long afterRevision, Duration wait)
            throws PlatformException {
        take("watch " + prefix);
        return mStore.watch(prefix, afterRevision, wait);
    }

    private synchronized void take(String step) throws PlatformException {
        long now = mClock.monotonicNanos();
        double earned = (now - mFilledNanos) / NANOS_PER_SECOND * mCallsPerSecond;
        mTokens = Math.min(mCallsPerSecond, mTokens + earned);
        mFilledNanos = now;
        if (mTokens < 1) {
            mRefused++;
            throw new PlatformException(
                    PlatformException.Kind.RATE_LIMITED, step, "local", "over own rate", null);
        }
        mTokens--;
        mCalls++;
    }

    /**
     * Returns the calls that were sent.
     *
     * @return the number since the start
     */
    public synchronized long calls() {
        return mCalls;
    }

    /**
     * Returns the calls that were over the rate.
     *
     * @return the number since the start
     */
    public synchronized long refused() {
        return mRefused;
    }
}
