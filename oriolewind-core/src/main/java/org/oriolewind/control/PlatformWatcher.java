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
 * Watches the mesh's objects in the platform's store with one long-polling call. Only the leader,
 * its standby and roots that have found no parent for a while do so, to limit the platform's load.
 * Confined to the control thread.
 */
final class PlatformWatcher {
    private static final String PREFIX = "mesh/";
    private static final long UNKNOWN_REVISION = -1;
    private static final long FIRST_BACKOFF_MILLIS = 200;
    private static final long MAX_BACKOFF_MILLIS = 5000;
    private static final String PLATFORM = "platform";

    private final ControlContext mContext;
    private final ConfigPropagator mConfigPropagator;
    private final MembershipPropagator mMembershipPropagator;
    private final BridgeManager mBridgeManager;
    private long mRevision = UNKNOWN_REVISION;
    private boolean mCallPending;
    private boolean mReachable = true;
    private long mBackoffMillis = FIRST_BACKOFF_MILLIS;
    private long mNextCallMillis;

    PlatformWatcher(
            ControlContext context,
            ConfigPropagator configPropagator,
            MembershipPropagator membershipPropagator,
            BridgeManager bridgeManager) {
        mContext = context;
        mConfigPropagator = configPropagator;
        mMembershipPropagator = membershipPropagator;
        mBridgeManager = bridgeManager;
    }

    void tick(boolean enabled) {
        if (!enabled) {
            // Changes made until the watch resumes are found by a new list.
            mRevision = UNKNOWN_REVISION;
            return;
        }
        if (mCallPending || mContext.nowMillis() < mNextCallMillis) {
            return;
        }
        mCallPending = true;
        if (mRevision == UNKNOWN_REVISION) {
            mContext.mPlatformExecutor.submit(
                    PlatformExecutor.TaskQueue.WATCH, store -> store.list(PREFIX), this::onResult);
            return;
        }
        long revision = mRevision;
        mContext.mPlatformExecutor.submit(
                PlatformExecutor.TaskQueue.WATCH,
                store -> store.watch(PREFIX, revision, mContext.mSettings.watchWait()),
                this::onResult);
    }

    private void onResult(PlatformResult<WatchBatch> result) {
        mCallPending = false;
        if (!result.isOk()) {
            onError(result);
            return;
        }
        setReachable(true, null);
        mBackoffMillis = FIRST_BACKOFF_MILLIS;
        mRevision = result.value().revision();
        result.value().objects().forEach(this::apply);
    }

    private void onError(PlatformResult<WatchBatch> result) {
        if (result.hasFailedWith(PlatformException.Kind.COMPACTED)) {
            mRevision = UNKNOWN_REVISION;
            return;
        }
        setReachable(false, result.error().map(Exception::getMessage).orElse(null));
        mNextCallMillis = mContext.nowMillis() + 1 + mContext.jitterMillis(mBackoffMillis);
        mBackoffMillis = Math.min(MAX_BACKOFF_MILLIS, mBackoffMillis * 2);
    }

    private void setReachable(boolean reachable, String detail) {
        if (reachable != mReachable) {
            mReachable = reachable;
            mContext.record(EventKind.PLATFORM_STATE, PLATFORM, reachable ? 1 : 0, detail);
        }
    }

    private void apply(StoredObject stored) {
        try {
            if (stored.value().isEmpty()) {
                return;
            }
            if (stored.key().equals(ConfigHead.KEY)) {
                mConfigPropagator.onStored(ConfigHead.decode(stored, PLATFORM).config());
            } else if (stored.key().startsWith(MembersObject.PREFIX)) {
                applyMembers(stored);
            }
        } catch (ConfigException e) {
            mContext.record(
                    EventKind.CONFIG_REFUSED, stored.key(), stored.version(), e.getMessage());
        }
    }

    private void applyMembers(StoredObject stored) throws ConfigException {
        String dataCentre = stored.key().substring(MembersObject.PREFIX.length());
        MembersObject members = MembersObject.decode(stored.value().get(), PLATFORM);
        mMembershipPropagator.merge(members.members());
        if (!dataCentre.equals(mContext.dataCentre())) {
            mBridgeManager.onLeaderSeen(dataCentre, members.leaderAddress());
        }
    }
}
