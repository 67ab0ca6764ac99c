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
 * Writes the members of the data centre to the platform in batches. Only the lease holder does so,
 * and a write of an earlier term never replaces one of a later. Belongs to the control thread.
 */
final class MemberWriter {
    /** Shortest time between two writes, whatever the fleet does. */
    private static final long WRITE_INTERVAL_MILLIS = 1000;

    private static final long RETRY_JITTER_MILLIS = 2000;

    private final ControlContext mContext;
    private final MembershipPropagator mMemberSpread;
    private List<Member> mWritten = List.of();
    private long mWrittenTerm = -1;
    private boolean mCallOpen;
    private long mNextMillis;

    MemberWriter(ControlContext context, MembershipPropagator memberSpread) {
        mContext = context;
        mMemberSpread = memberSpread;
    }

    /** The outcome of one write: what was stored before, if it was not written by this node. */
    private record Written(Optional<MembersObject> found, boolean stored) {}

    void tick(boolean leaseHeld, long term) {
        long now = mContext.nowMillis();
        if (!leaseHeld || mCallOpen || now < mNextMillis) {
            return;
        }
        List<Member> live = MembersObject.liveIn(mContext.mMembers.all(), mContext.dataCentre());
        if (term == mWrittenTerm && live.equals(mWritten)) {
            return;
        }
        mCallOpen = true;
        MembersObject object =
                new MembersObject(mContext.node(), mContext.self().getPeerAddress(), term, live);
        String key = MembersObject.PREFIX + mContext.dataCentre();
        mContext.mGateway.submit(
                PlatformExecutor.TaskQueue.REQUESTS,
                store -> write(store, key, object),
                reply -> onWritten(object, reply));
    }

    private static Written write(ObjectStore store, String key, MembersObject object)
            throws OperationException {
        Optional<StoredObject> stored = store.get(key);
        Optional<MembersObject> found = Optional.empty();
        long version = ObjectStore.ABSENT;
        if (stored.isPresent() && stored.get().value().isPresent()) {
            version = stored.get().version();
            found = Optional.of(MembersObject.decode(stored.get().value().get(), "platform"));
        }
        if (found.isPresent() && found.get().term() > object.term()) {
            return new Written(found, false);
        }
        try {
            store.put(key, object.encode(), version);
        } catch (PlatformException e) {
            // Another write came between, or the answer was lost: the next tick reads again.
            if (e.kind() == PlatformException.Kind.CONFLICT || e.kind().mayHaveEffect()) {
                return new Written(found, false);
            }
            throw e;
        }
        return new Written(found, true);
    }

    private void onWritten(MembersObject object, PlatformResult<Written> reply) {
        mCallOpen = false;
        long now = mContext.nowMillis();
        if (!reply.isOk()) {
            mNextMillis = now + WRITE_INTERVAL_MILLIS + mContext.jitterMillis(RETRY_JITTER_MILLIS);
            return;
        }
        mNextMillis = now + WRITE_INTERVAL_MILLIS;
        if (reply.value().stored()) {
            mWritten = object.members();
            mWrittenTerm = object.term();
        }
        // Entries that an earlier lead wrote and that this node has not heard of yet.
        reply.value().found().ifPresent(found -> mMemberSpread.merge(found.members()));
    }
}
