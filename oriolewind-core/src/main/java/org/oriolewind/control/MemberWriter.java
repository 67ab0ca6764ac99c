package org.oriolewind.control;

import java.util.List;
import java.util.Optional;
import org.oriolewind.error.OperationException;
import org.oriolewind.membership.MembersObject;
import org.oriolewind.platform.ObjectStore;
import org.oriolewind.platform.PlatformException;
import org.oriolewind.platform.PlatformExecutor;
import org.oriolewind.platform.PlatformResult;
import org.oriolewind.platform.StoredObject;
import org.oriolewind.wire.Member;

/**
 * Writes the members of the data centre to the platform's store, in at most one batch per interval.
 * Only the lease holder writes; the term is a fencing token, so that a write of an earlier term
 * never replaces one of a later term. Confined to the control thread.
 */
final class MemberWriter {
    /** Shortest time between two writes; bounds the store's load however often members change. */
    private static final long WRITE_INTERVAL_MILLIS = 1000;

    private static final long RETRY_JITTER_MILLIS = 2000;

    private final ControlContext mContext;
    private final MembershipPropagator mMembershipPropagator;
    private List<Member> mLastWritten = List.of();
    private long mLastWrittenTerm = -1;
    private boolean mCallPending;
    private long mNextWriteMillis;

    MemberWriter(ControlContext context, MembershipPropagator membershipPropagator) {
        mContext = context;
        mMembershipPropagator = membershipPropagator;
    }

    /** Outcome of one write: the object found in the store before, and whether it was replaced. */
    private record WriteOutcome(Optional<MembersObject> found, boolean stored) {}

    void tick(boolean leaseHeld, long term) {
        long now = mContext.nowMillis();
        if (!leaseHeld || mCallPending || now < mNextWriteMillis) {
            return;
        }
        List<Member> live = MembersObject.liveIn(mContext.mMembers.all(), mContext.dataCentre());
        if (term == mLastWrittenTerm && live.equals(mLastWritten)) {
            return;
        }
        mCallPending = true;
        MembersObject object =
                new MembersObject(mContext.node(), mContext.self().getPeerAddress(), term, live);
        String key = MembersObject.PREFIX + mContext.dataCentre();
        mContext.mPlatformExecutor.submit(
                PlatformExecutor.TaskQueue.REQUESTS,
                store -> write(store, key, object),
                result -> onWritten(object, result));
    }

    private static WriteOutcome write(ObjectStore store, String key, MembersObject object)
            throws OperationException {
        Optional<StoredObject> stored = store.get(key);
        Optional<MembersObject> found = Optional.empty();
        long version = ObjectStore.ABSENT;
        if (stored.isPresent() && stored.get().value().isPresent()) {
            version = stored.get().version();
            found = Optional.of(MembersObject.decode(stored.get().value().get(), "platform"));
        }
        if (found.isPresent() && found.get().term() > object.term()) {
            return new WriteOutcome(found, false);
        }
        try {
            store.put(key, object.encode(), version);
        } catch (PlatformException e) {
            // A concurrent write or a lost answer: a later tick reads the object and retries.
            if (e.kind() == PlatformException.Kind.CONFLICT || e.kind().mayHaveEffect()) {
                return new WriteOutcome(found, false);
            }
            throw e;
        }
        return new WriteOutcome(found, true);
    }

    private void onWritten(MembersObject object, PlatformResult<WriteOutcome> result) {
        mCallPending = false;
        long now = mContext.nowMillis();
        if (!result.isOk()) {
            mNextWriteMillis =
                    now + WRITE_INTERVAL_MILLIS + mContext.jitterMillis(RETRY_JITTER_MILLIS);
            return;
        }
        mNextWriteMillis = now + WRITE_INTERVAL_MILLIS;
        if (result.value().stored()) {
            mLastWritten = object.members();
            mLastWrittenTerm = object.term();
        }
        // An earlier leader may have written entries that this node has not received yet.
        result.value().found().ifPresent(found -> mMembershipPropagator.merge(found.members()));
    }
}
