package org.oriolewind.control;

import java.util.Optional;
import org.oriolewind.config.ConfigException;
import org.oriolewind.config.ConfigHead;
import org.oriolewind.event.EventKind;
import org.oriolewind.platform.PlatformExecutor;
import org.oriolewind.platform.PlatformResult;
import org.oriolewind.platform.StoredObject;

/**
 * Keeps a restarted node, which starts without a configuration, from running an older version than
 * its earlier incarnation did: the node reads the head object from the platform before it becomes
 * ready, and relies on its peers alone only while the platform is unavailable. Confined to the
 * control thread, except for {@link #isReady()}.
 */
final class StartupConfigLoader {
    /** Time given to peers to send their version when the platform is unavailable. */
    private static final long PEER_WAIT_MILLIS = 3000;

    private static final long RETRY_JITTER_MILLIS = 2000;

    /**
     * Jitter of the first read, so that nodes that start at the same time do not read at the same
     * time.
     */
    private static final long START_JITTER_MILLIS = 1500;

    private final ControlContext mContext;
    private final ConfigPropagator mConfigPropagator;
    private final long mStartedMillis;
    private boolean mCallPending;
    private boolean mPlatformRead;
    private boolean mPlatformFailed;
    private long mNextReadMillis;
    private volatile boolean mReady;

    StartupConfigLoader(ControlContext context, ConfigPropagator configPropagator) {
        mContext = context;
        mConfigPropagator = configPropagator;
        mStartedMillis = context.nowMillis();
        mNextReadMillis = mStartedMillis + context.jitterMillis(START_JITTER_MILLIS);
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
        boolean peerWaitOver = mPlatformFailed && now - mStartedMillis >= PEER_WAIT_MILLIS;
        if (haveConfig && (mPlatformRead || peerWaitOver)) {
            mReady = true;
            return;
        }
        if (mPlatformRead || mCallPending || now < mNextReadMillis) {
            return;
        }
        mCallPending = true;
        mContext.mPlatformExecutor.submit(
                PlatformExecutor.TaskQueue.REQUESTS,
                store -> store.get(ConfigHead.KEY),
                this::onRead);
    }

    private void onRead(PlatformResult<Optional<StoredObject>> result) {
        mCallPending = false;
        if (!result.isOk()) {
            mPlatformFailed = true;
            mNextReadMillis = mContext.nowMillis() + 1 + mContext.jitterMillis(RETRY_JITTER_MILLIS);
            return;
        }
        mPlatformRead = true;
        try {
            if (result.value().isPresent()) {
                mConfigPropagator.onStored(
                        ConfigHead.decode(result.value().get(), "platform").config());
            }
        } catch (ConfigException e) {
            mContext.record(EventKind.CONFIG_REFUSED, ConfigHead.KEY, 0, e.getMessage());
        }
    }
}
