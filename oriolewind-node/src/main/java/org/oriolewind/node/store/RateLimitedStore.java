package org.oriolewind.node.store;

import java.time.Duration;
import java.util.Optional;
import org.oriolewind.platform.ObjectStore;
import org.oriolewind.platform.PlatformException;
import org.oriolewind.platform.StoredObject;
import org.oriolewind.platform.WatchBatch;
import org.oriolewind.time.NodeClock;

/**
 * Limits the rate of calls to the platform with a token bucket. A call above the rate fails at once
 * with {@link PlatformException.Kind#RATE_LIMITED} and is not sent. Thread-safe.
 */
public final class RateLimitedStore implements ObjectStore {
    private static final double NANOS_PER_SECOND = 1e9;

    private final ObjectStore mStore;
    private final NodeClock mClock;
    private final double mCallsPerSecond;
    private double mTokens;
    private long mRefilledNanos;
    private long mCalls;
    private long mRefused;

    /**
     * Creates a store with a full token bucket.
     *
     * @param store executes the calls within the rate
     * @param clock monotonic clock of the token bucket
     * @param callsPerSecond rate limit, also the largest burst
     */
    public RateLimitedStore(ObjectStore store, NodeClock clock, double callsPerSecond) {
        mStore = store;
        mClock = clock;
        mCallsPerSecond = callsPerSecond;
        mTokens = callsPerSecond;
        mRefilledNanos = clock.monotonicNanos();
    }

    @Override
    public Optional<StoredObject> get(String key) throws PlatformException {
        acquireToken("get " + key);
        return mStore.get(key);
    }

    @Override
    public long put(String key, byte[] value, long expectedVersion) throws PlatformException {
        acquireToken("put " + key);
        return mStore.put(key, value, expectedVersion);
    }

    @Override
    public WatchBatch list(String prefix) throws PlatformException {
        acquireToken("list " + prefix);
        return mStore.list(prefix);
    }

    @Override
    public WatchBatch watch(String prefix, long afterRevision, Duration wait)
            throws PlatformException {
        acquireToken("watch " + prefix);
        return mStore.watch(prefix, afterRevision, wait);
    }

    private synchronized void acquireToken(String operation) throws PlatformException {
        long now = mClock.monotonicNanos();
        double earned = (now - mRefilledNanos) / NANOS_PER_SECOND * mCallsPerSecond;
        mTokens = Math.min(mCallsPerSecond, mTokens + earned);
        mRefilledNanos = now;
        if (mTokens < 1) {
            mRefused++;
            throw new PlatformException(
                    PlatformException.Kind.RATE_LIMITED,
                    operation,
                    "local",
                    "local rate limit exceeded",
                    null);
        }
        mTokens--;
        mCalls++;
    }

    /** Returns the number of calls since the start that were sent. */
    public synchronized long calls() {
        return mCalls;
    }

    /** Returns the number of calls since the start that were refused by the rate limit. */
    public synchronized long refused() {
        return mRefused;
    }
}
