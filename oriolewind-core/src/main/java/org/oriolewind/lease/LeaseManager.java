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
 * Holds or watches one lease. A lease that was seen unchanged for its duration may be taken over by
 * a conditional write, with the next term. No clock is compared with another node's.
 *
 * <p>Invariant: {@link #isHeld()} is true only within the lease's duration, counted from before the
 * latest write that took effect was sent; another node takes over later than that. Belongs to the
 * control thread.
 */
public final class LeaseManager {
    /** Part of the duration after which the holder renews. */
    private static final int RENEWALS_PER_DURATION = 3;

    /** Share of the duration by which a holder stops early, for drift between clocks. */
    private static final int SAFETY_DIVISOR = 10;

    /** Time over which the first reads of a fleet that starts at once are spread. */
    private static final long START_SPREAD_MILLIS = 1500;

    private final String mKey;
    private final String mHolder;
    private final long mIncarnation;
    private final String mAddress;
    private final long mDurationMillis;
    private final NodeClock mClock;
    private final RandomGenerator mRandom;
    private final PlatformExecutor mGateway;
    private final EventSink mEvents;

    private Optional<LeaseRecord> mSeen = Optional.empty();
    private long mSeenVersion = -1;
    private long mTakeoverAtMillis;
    private long mNextCallAtMillis;
    private long mHeldUntilMillis = Long.MIN_VALUE;
    private boolean mHolding;
    private boolean mCallOpen;
    private boolean mConfirming;
    private Candidacy mCandidacy = Candidacy.NONE;

    /**
     * Creates a keeper.
     *
     * @param duty the duty's name
     * @param holder this node's name
     * @param incarnation this node's incarnation
     * @param address this node's peer address
     * @param duration the lease's duration
     * @param clock the clock
     * @param random source of jitter
     * @param gateway the platform
     * @param events takes events
     */
    public LeaseManager(
            String duty,
            String holder,
            long incarnation,
            String address,
            Duration duration,
            NodeClock clock,
            RandomGenerator random,
            PlatformExecutor gateway,
            EventSink events) {
        mKey = LeaseRecord.PREFIX + duty;
        mHolder = holder;
        mIncarnation = incarnation;
        mAddress = address;
        mDurationMillis = duration.toMillis();
        mClock = clock;
        mRandom = random;
        mGateway = gateway;
        mEvents = events;
        mNextCallAtMillis = clock.monotonicMillis() + random.nextLong(START_SPREAD_MILLIS);
    }

    /**
     * Returns whether this node holds the lease now.
     *
     * @return true if no other node can hold it
     */
    public boolean isHeld() {
        return mHolding && mClock.monotonicMillis() < mHeldUntilMillis;
    }

    /**
     * Returns the term last seen.
     *
     * @return the term, 0 if the lease was never read
     */
    public long term() {
        return mSeen.map(LeaseRecord::term).orElse(0L);
    }

    /**
     * Returns the lease as last seen.
     *
     * @return the record, or empty if it was never read or does not exist
     */
    public Optional<LeaseRecord> seen() {
        return mSeen;
    }

    /**
     * Does what is due. A holder renews; a candidate watches the lease and takes over.
     *
     * @param candidacy whether this node shall try to obtain the lease
     */
    public void tick(Candidacy candidacy) {
        mCandidacy = candidacy;
        long now = mClock.monotonicMillis();
        if (mHolding && now >= mHeldUntilMillis && mHeldUntilMillis != Long.MIN_VALUE) {
            noteLapse();
        }
        if (mCallOpen || now < mNextCallAtMillis) {
            return;
        }
        if (mHolding) {
            write(renewal(), mSeenVersion);
        } else if (candidacy != Candidacy.NONE) {
            watchOrTakeOver(now);
        }
    }

    private void noteLapse() {
        mHeldUntilMillis = Long.MIN_VALUE;
        mEvents.record(Event.of(EventKind.LEASE_LOST, mKey, term(), "not renewed in time"));
    }

    private void watchOrTakeOver(long now) {
        boolean expired = mSeenVersion >= 0 && now >= mTakeoverAtMillis;
        if (expired && mConfirming) {
            mConfirming = false;
            write(claim(), mSeenVersion);
            return;
        }
        mConfirming = expired;
        read();
    }

    private LeaseRecord claim() {
        return new LeaseRecord(mHolder, mIncarnation, mAddress, term() + 1, 0);
    }

    private LeaseRecord renewal() {
        return new LeaseRecord(
                mHolder, mIncarnation, mAddress, term(), mSeen.orElseThrow().renewals() + 1);
    }

    private void read() {
        mCallOpen = true;
        mGateway.submit(PlatformExecutor.TaskQueue.LEASES, store -> store.get(mKey), this::onRead);
    }

    private void onRead(PlatformResult<Optional<StoredObject>> reply) {
        mCallOpen = false;
        long now = mClock.monotonicMillis();
        if (!reply.isOk()) {
            // What happened meanwhile is not known, so the wait starts anew.
            mSeenVersion = -1;
            mConfirming = false;
            backOff(now);
            return;
        }
        long version = reply.value().map(StoredObject::version).orElse(ObjectStore.ABSENT);
        if (version != mSeenVersion) {
            see(reply.value(), version, now);
        }
        boolean due = mHolding || mConfirming && now >= mTakeoverAtMillis;
        mNextCallAtMillis = due ? now : now + nextReadMillis(now);
    }

    private void see(Optional<StoredObject> stored, long version, long now) {
        mSeen = stored.flatMap(LeaseManager::decode);
        mSeenVersion = version;
        mConfirming = false;
        // A write of ours whose answer was lost: renew at once to know whether it still stands.
        mHolding = mSeen.filter(this::isMine).isPresent();
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
        mCallOpen = true;
        long sentMillis = mClock.monotonicMillis();
        Consumer<PlatformResult<Long>> done =
                reply -> onWritten(record, expectedVersion, sentMillis, reply);
        mGateway.submit(
                PlatformExecutor.TaskQueue.LEASES,
                store -> writeAndReadBack(store, record, expectedVersion),
                done);
    }

    /** Resolves a lost answer by reading the object back. */
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
            LeaseRecord record, long expectedVersion, long sentMillis, PlatformResult<Long> reply) {
        mCallOpen = false;
        long now = mClock.monotonicMillis();
        if (reply.isOk()) {
            onOwned(record, reply.value(), sentMillis);
            return;
        }
        if (reply.failedWith(PlatformException.Kind.CONFLICT)) {
            onConflict(now);
            return;
        }
        backOff(now);
    }

    private void onOwned(LeaseRecord record, long version, long sentMillis) {
        boolean acquired = !isHeld();
        mSeen = Optional.of(record);
        mSeenVersion = version;
        mHolding = true;
        mHeldUntilMillis = sentMillis + mDurationMillis - mDurationMillis / SAFETY_DIVISOR;
        mNextCallAtMillis = sentMillis + mDurationMillis / RENEWALS_PER_DURATION;
        if (acquired) {
            mEvents.record(Event.of(EventKind.LEASE_ACQUIRED, mKey, record.term(), null));
        }
    }

    private void onConflict(long now) {
        if (mHolding && mHeldUntilMillis != Long.MIN_VALUE) {
            mEvents.record(Event.of(EventKind.LEASE_LOST, mKey, term(), "taken over"));
        }
        mHolding = false;
        mSeenVersion = -1;
        mNextCallAtMillis = now;
    }

    private void backOff(long now) {
        mNextCallAtMillis = now + 1 + mRandom.nextLong(mDurationMillis / RENEWALS_PER_DURATION);
    }
}
