package org.oriolewind.control;

import org.oriolewind.config.ConfigException;
import org.oriolewind.config.ConfigHead;
import org.oriolewind.event.EventKind;
import org.oriolewind.membership.MembersObject;
import org.oriolewind.platform.PlatformException;
import org.oriolewind.platform.PlatformExecutor;
import org.oriolewind.platform.PlatformResult;
import org.oriolewind.platform.StoredObject;
import org.oriolewind.platform.WatchBatch;

/**
 * Follows the objects of the mesh at the platform with one waiting watch. Only the lead, its
 * standby and nodes without a parent do so. Belongs to the control thread.
 */
final class PlatformWatcher {
    private static final String PREFIX = "mesh/";
    private static final long UNKNOWN_REVISION = -1;
    private static final long FIRST_BACKOFF_MILLIS = 200;
    private static final long MAX_BACKOFF_MILLIS = 5000;
    private static final String PEER = "platform";

    private final ControlContext mContext;
    private final ConfigPropagator mConfigSpread;
    private final MembershipPropagator mMemberSpread;
    private final BridgeManager mBridges;
    private long mRevision = UNKNOWN_REVISION;
    private boolean mCallOpen;
    private boolean mReachable = true;
    private long mBackoffMillis = FIRST_BACKOFF_MILLIS;
    private long mNextCallMillis;

    PlatformWatcher(
            ControlContext context,
            ConfigPropagator configSpread,
            MembershipPropagator memberSpread,
            BridgeManager bridges) {
        mContext = context;
        mConfigSpread = configSpread;
        mMemberSpread = memberSpread;
        mBridges = bridges;
    }

    void tick(boolean wanted) {
        if (!wanted) {
            // What changes until the feed is wanted again is found by listing anew.
            mRevision = UNKNOWN_REVISION;
            return;
        }
        if (mCallOpen || mContext.nowMillis() < mNextCallMillis) {
            return;
        }
        mCallOpen = true;
        if (mRevision == UNKNOWN_REVISION) {
            mContext.mGateway.submit(
                    PlatformExecutor.TaskQueue.WATCH, store -> store.list(PREFIX), this::onReply);
            return;
        }
        long revision = mRevision;
        mContext.mGateway.submit(
                PlatformExecutor.TaskQueue.WATCH,
                store -> store.watch(PREFIX, revision, mContext.mSettings.watchWait()),
                this::onReply);
    }

    private void onReply(PlatformResult<WatchBatch> reply) {
        mCallOpen = false;
        if (!reply.isOk()) {
            onError(reply);
            return;
        }
        setReachable(true, null);
        mBackoffMillis = FIRST_BACKOFF_MILLIS;
        mRevision = reply.value().revision();
        reply.value().objects().forEach(this::take);
    }

    private void onError(PlatformResult<WatchBatch> reply) {
        if (reply.failedWith(PlatformException.Kind.COMPACTED)) {
            mRevision = UNKNOWN_REVISION;
            return;
        }
        setReachable(false, reply.error().map(Exception::getMessage).orElse(null));
        mNextCallMillis = mContext.nowMillis() + 1 + mContext.jitterMillis(mBackoffMillis);
        mBackoffMillis = Math.min(MAX_BACKOFF_MILLIS, mBackoffMillis * 2);
    }

    private void setReachable(boolean reachable, String detail) {
        if (reachable != mReachable) {
            mReachable = reachable;
            mContext.record(EventKind.PLATFORM_STATE, PEER, reachable ? 1 : 0, detail);
        }
    }

    private void take(StoredObject stored) {
        try {
            if (stored.value().isEmpty()) {
                return;
            }
            if (stored.key().equals(ConfigHead.KEY)) {
                mConfigSpread.onStored(ConfigHead.decode(stored, PEER).config());
            } else if (stored.key().startsWith(MembersObject.PREFIX)) {
                takeMembers(stored);
            }
        } catch (ConfigException e) {
            mContext.record(
                    EventKind.CONFIG_REFUSED, stored.key(), stored.version(), e.getMessage());
        }
    }

    private void takeMembers(StoredObject stored) throws ConfigException {
        String dataCentre = stored.key().substring(MembersObject.PREFIX.length());
        MembersObject members = MembersObject.decode(stored.value().get(), PEER);
        mMemberSpread.merge(members.members());
        if (!dataCentre.equals(mContext.dataCentre())) {
            mBridges.onLeadSeen(dataCentre, members.leadAddress());
        }
    }
}
