package org.oriolewind.control;

import java.util.Optional;
import org.oriolewind.config.ConfigException;
import org.oriolewind.config.ConfigHead;
import org.oriolewind.event.EventKind;
import org.oriolewind.platform.PlatformExecutor;
import org.oriolewind.platform.PlatformResult;
import org.oriolewind.platform.StoredObject;

/**
 * Makes sure that a node which starts with nothing does not run an older configuration than its
 * predecessor did: it reads the platform's head first, and goes by its peers alone only while the
 * platform is away. Belongs to the control thread, but for {@link #isReady()}.
 */
final class StartupConfigLoader {
    /** Time for which peers are listened to when the platform is away. */
    private static final long PEER_WAIT_MILLIS = 3000;

    private static final long RETRY_JITTER_MILLIS = 2000;

    /** Time over which the reads of a fleet that starts at once are spread. */
    private static final long SPREAD_MILLIS = 1500;

    private final ControlContext mContext;
    private final ConfigPropagator mConfigSpread;
    private final long mStartedMillis;
    private boolean mCallOpen;
    private boolean mPlatformRead;
    private boolean mPlatformFailed;
    private long mNextMillis;
    private volatile boolean mReady;

    StartupConfigLoader(ControlContext context, ConfigPropagator configSpread) {
        mContext = context;
        mConfigSpread = configSpread;
        mStartedMillis = context.nowMillis();
        mNextMillis = mStartedMillis + context.jitterMillis(SPREAD_MILLIS);
    }

    boolean isReady() {
        return mReady;
    }

    void tick() {
        if (mReady) {
            return;
        }
        long now = mContext.nowMillis();
        boolean haveConfig = mContext.mConfig.current().version() > 0;
        boolean peersHeard = mPlatformFailed && now - mStartedMillis >= PEER_WAIT_MILLIS;
        if (haveConfig && (mPlatformRead || peersHeard)) {
            mReady = true;
            return;
        }
        if (mPlatformRead || mCallOpen || now < mNextMillis) {
            return;
        }
        mCallOpen = true;
        mContext.mGateway.submit(
                PlatformExecutor.TaskQueue.REQUESTS,
                store -> store.get(ConfigHead.KEY),
                this::onRead);
    }

    private void onRead(PlatformResult<Optional<StoredObject>> reply) {
        mCallOpen = false;
        if (!reply.isOk()) {
            mPlatformFailed = true;
            mNextMillis = mContext.nowMillis() + 1 + mContext.jitterMillis(RETRY_JITTER_MILLIS);
            return;
        }
        mPlatformRead = true;
        try {
            if (reply.value().isPresent()) {
                mConfigSpread.onStored(ConfigHead.decode(reply.value().get(), "platform").config());
            }
        } catch (ConfigException e) {
            mContext.record(EventKind.CONFIG_REFUSED, ConfigHead.KEY, 0, e.getMessage());
        }
    }
}
