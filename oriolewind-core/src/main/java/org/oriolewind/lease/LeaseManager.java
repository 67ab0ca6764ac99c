package org.oriolewind.lease;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.oriolewind.event.Event;
import org.oriolewind.event.EventKind;
import org.oriolewind.event.EventSink;
import org.oriolewind.platform.ObjectStore;
import org.oriolewind.platform.PlatformException;
import org.oriolewind.platform.PlatformExecutor;
import org.oriolewind.platform.PlatformResult;
import org.oriolewind.platform.StoredObject;
import org.oriolewind.time.NodeClock;

/**
 * Acquires, renews or observes one lease in the platform's store. A lease that was observed
 * unchanged for its duration may be taken over by a conditional write, which starts the next term.
 * Expiry is measured by local monotonic time alone; clocks of different nodes are never compared.
 *
 * <p>Invariant: {@link #isHeld()} is true only within the lease's duration, counted from the moment
 * before the latest successful write was sent; another node can take over only after that. Confined
 * to the control thread.
 */
public final class LeaseManager {
    /** Renewals by the holder, and polls by a candidate, within one duration. */
    private static final int RENEWALS_PER_DURATION = 3;

    /**
     * A holder treats the lease as expired this part of its duration early, a tenth, since clock
     * rates differ.
     */
    private static final int EXPIRY_MARGIN_DIVISOR = 10;

    /**
     * Jitter of the first read, so that nodes that start at the same time do not read at the same
     * time.
     */
    private static final long START_JITTER_MILLIS = 1500;

    private final String mKey;
    private final String mHolder;
    private final long mIncarnation;
    private final String mAddress;
    private final long mDurationMillis;
    private final NodeClock mClock;
    private final RandomGenerator mRandom;
    private final PlatformExecutor mPlatformExecutor;
    private final EventSink mEvents;

    private Optional<LeaseRecord> mObserved = Optional.empty();
    private long mObservedVersion = -1;
    private long mTakeoverAtMillis;
    private long mNextCallAtMillis;
    private long mHeldUntilMillis = Long.MIN_VALUE;
    private boolean mHolding;
    private boolean mCallPending;
    private boolean mConfirming;
    private Candidacy mCandidacy = Candidacy.NONE;

    /**
     * Creates a manager of one lease, which does nothing before the first {@link #tick}.
     *
     * @param name the lease's name, appended to {@link LeaseRecord#PREFIX}
     * @param holder this node's name
     * @param incarnation this node's incarnation; a lease held by an earlier one is not its own
     * @param address this node's peer address, published in the lease
     * @param duration time without a renewal after which the lease expires
     * @param clock source of monotonic time
     * @param random source of jitter
     * @param platformExecutor runs reads and writes of the lease off the control thread
     * @param events sink for events of acquisition and loss
     */
    public LeaseManager(
            String name,
            String holder,
            long incarnation,
            String address,
            Duration duration,
            NodeClock clock,
            RandomGenerator random,
            PlatformExecutor platformExecutor,
            EventSink events) {
        mKey = LeaseRecord.PREFIX + name;
        mHolder = holder;
        mIncarnation = incarnation;
        mAddress = address;
        mDurationMillis = duration.toMillis();
        mClock = clock;
        mRandom = random;
        mPlatformExecutor = platformExecutor;
        mEvents = events;
        mNextCallAtMillis = clock.monotonicMillis() + random.nextLong(START_JITTER_MILLIS);
    }

    /**
     * Returns whether this node holds the lease now.
     *
     * @return true if no other node can hold it at this moment
     */
    public boolean isHeld() {
        return mHolding && mClock.monotonicMillis() < mHeldUntilMillis;
    }

    /**
     * Returns the term of the lease as last observed. Terms serve as fencing tokens.
     *
     * @return the term, 0 if the lease was never read
     */
    public long term() {
        return mObserved.map(LeaseRecord::term).orElse(0L);
    }

    /**
     * Returns the lease as last read or written by this node.
     *
     * @return the record, or empty if it was never read or does not exist
     */
    public Optional<LeaseRecord> observed() {
        return mObserved;
    }

    /**
     * Runs the work that is due: a holder renews the lease, a candidate polls it and takes it over
     * once it has expired.
     *
     * @param candidacy whether this node tries to acquire the lease
     */
    public void tick(Candidacy candidacy) {
        mCandidacy = candidacy;
        long now = mClock.monotonicMillis();
        if (mHolding && now >= mHeldUntilMillis && mHeldUntilMillis != Long.MIN_VALUE) {
            recordExpiry();
        }
        if (mCallPending || now < mNextCallAtMillis) {
            return;
        }
        if (mHolding) {
            write(renewal(), mObservedVersion);
        } else if (candidacy != Candidacy.NONE) {
            pollOrTakeOver(now);
        }
    }

    private void recordExpiry() {
        mHeldUntilMillis = Long.MIN_VALUE;
        mEvents.record(Event.of(EventKind.LEASE_LOST, mKey, term(), "not renewed before expiry"));
    }

    /** Reads the lease. One that has expired is taken over if a further read finds it unchanged. */
    private void pollOrTakeOver(long now) {
        boolean expired = mObservedVersion >= 0 && now >= mTakeoverAtMillis;
        if (expired && mConfirming) {
            mConfirming = false;
            write(nextTerm(), mObservedVersion);
            return;
        }
        mConfirming = expired;
        read();
    }

    private LeaseRecord nextTerm() {
        return new LeaseRecord(mHolder, mIncarnation, mAddress, term() + 1, 0);
    }

    private LeaseRecord renewal() {
        return new LeaseRecord(
                mHolder, mIncarnation, mAddress, term(), mObserved.orElseThrow().renewals() + 1);
    }

    private void read() {
        mCallPending = true;
        mPlatformExecutor.submit(
                PlatformExecutor.TaskQueue.LEASES, store -> store.get(mKey), this::onRead);
    }

    private void onRead(PlatformResult<Optional<StoredObject>> result) {
        mCallPending = false;
        long now = mClock.monotonicMillis();
        if (!result.isOk()) {
            // The lease may have been renewed unobserved, so the wait for expiry starts again.
            mObservedVersion = -1;
            mConfirming = false;
            backOff(now);
            return;
        }
        long version = result.value().map(StoredObject::version).orElse(ObjectStore.ABSENT);
        if (version != mObservedVersion) {
            observe(result.value(), version, now);
        }
        boolean due = mHolding || mConfirming && now >= mTakeoverAtMillis;
        mNextCallAtMillis = due ? now : now + nextReadMillis(now);
    }

    private void observe(Optional<StoredObject> stored, long version, long now) {
        mObserved = stored.flatMap(LeaseManager::decode);
        mObservedVersion = version;
        mConfirming = false;
        // An earlier write took effect but its answer was lost: renew at once to confirm the lease.
        mHolding = mObserved.filter(this::isMine).isPresent();
        mHeldUntilMillis = Long.MIN_VALUE;
        long expiryMillis = version == ObjectStore.ABSENT ? 0 : mDurationMillis;
        mTakeoverAtMillis =
                now + expiryMillis + mRandom.nextLong(Math.max(1, mCandidacy.jitterMillis()));
    }

    private boolean isMine(LeaseRecord record) {
        return record.holder().equals(mHolder) && record.incarnation() == mIncarnation;
    }

    private long nextReadMillis(long now) {
        long pollMillis = mDurationMillis / RENEWALS_PER_DURATION;
        return Math.max(1, Math.min(pollMillis, mTakeoverAtMillis - now));
    }

    private static Optional<LeaseRecord> decode(StoredObject stored) {
        try {
            if (stored.value().isEmpty()) {
                return Optional.empty();
            }
            return Optional.of(LeaseRecord.decode(stored.value().get()));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    private void write(LeaseRecord record, long expectedVersion) {
        mCallPending = true;
        long sentMillis = mClock.monotonicMillis();
        Consumer<PlatformResult<Long>> done =
                result -> onWritten(record, expectedVersion, sentMillis, result);
        mPlatformExecutor.submit(
                PlatformExecutor.TaskQueue.LEASES,
                store -> writeAndReadBack(store, record, expectedVersion),
                done);
    }

    /** Writes the record. If the answer is lost, the object is read back to learn the outcome. */
    private long writeAndReadBack(ObjectStore store, LeaseRecord record, long expectedVersion)
            throws PlatformException {
        try {
            return store.put(mKey, record.encode(), expectedVersion);
        } catch (PlatformException e) {
            if (!e.kind().mayHaveEffect()) {
                throw e;
            }
            Optional<StoredObject> stored = store.get(mKey);
            if (stored.flatMap(LeaseManager::decode).filter(record::equals).isPresent()) {
                return stored.get().version();
            }
            throw e;
        }
    }

    private void onWritten(
            LeaseRecord record,
            long expectedVersion,
            long sentMillis,
            PlatformResult<Long> result) {
        mCallPending = false;
        long now = mClock.monotonicMillis();
        if (result.isOk()) {
            onWriteSucceeded(record, result.value(), sentMillis);
            return;
        }
        if (result.hasFailedWith(PlatformException.Kind.CONFLICT)) {
            onConflict(now);
            return;
        }
        backOff(now);
    }

    private void onWriteSucceeded(LeaseRecord record, long version, long sentMillis) {
        boolean acquired = !isHeld();
        mObserved = Optional.of(record);
        mObservedVersion = version;
        mHolding = true;
        mHeldUntilMillis = sentMillis + mDurationMillis - mDurationMillis / EXPIRY_MARGIN_DIVISOR;
        mNextCallAtMillis = sentMillis + mDurationMillis / RENEWALS_PER_DURATION;
        if (acquired) {
            mEvents.record(Event.of(EventKind.LEASE_ACQUIRED, mKey, record.term(), null));
        }
    }

    private void onConflict(long now) {
        if (mHolding && mHeldUntilMillis != Long.MIN_VALUE) {
            mEvents.record(
                    Event.of(EventKind.LEASE_LOST, mKey, term(), "acquired by another node"));
        }
        mHolding = false;
        mObservedVersion = -1;
        mNextCallAtMillis = now;
    }

    private void backOff(long now) {
        mNextCallAtMillis = now + 1 + mRandom.nextLong(mDurationMillis / RENEWALS_PER_DURATION);
    }
}
