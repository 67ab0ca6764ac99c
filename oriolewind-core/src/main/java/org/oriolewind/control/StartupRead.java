package org.oriolewind.control;

import java.util.Optional;
import org.oriolewind.config.ConfigException;
import org.oriolewind.config.HeadObject;
import org.oriolewind.event.EventKind;
import org.oriolewind.platform.PlatformGateway;
import org.oriolewind.platform.PlatformReply;
import org.oriolewind.platform.StoredObject;

/**
 * Makes sure that a node which starts with nothing does not run an older configuration than its
 * predecessor did: it reads the platform's head first, and goes by its peers alone only while the
 * platform is away. Belongs to the control thread, but for {@link #isReady()}.
 */
final class StartupRead {
    /** Time for which peers are listened to when the platform is away. */
    private static final long PEER_WAIT_MILLIS = 3000;

    private static final long RETRY_JITTER_MILLIS = 2000;

    /** Time over which the reads of a fleet that starts at once are spread. */
    private static final long SPREAD_MILLIS = 1500;

    private final ControlContext mContext;
    private final ConfigSpread mConfigSpread;
    private final long mStartedMillis;
    private boolean mCallOpen;
    private boolean mPlatformRead;
    private boolean mPlatformFailed;
    private long mNextMillis;
    private volatile boolean mReady;

    StartupRead(ControlContext context, ConfigSpread configSpread) {
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
                PlatformGateway.Lane.REQUESTS, store -> store.get(HeadObject.KEY), this::onRead);
    }

    private void onRead(PlatformReply<Optional<StoredObject>> reply) {
        mCallOpen = false;
        if (!reply.isOk()) {
            mPlatformFailed = true;
            mNextMillis = mContext.nowMillis() + 1 + mContext.jitterMillis(RETRY_JITTER_MILLIS);
            return;
        }
        mPlatformRead = true;
        try {
            if (reply.value().isPresent()) {
                mConfigSpread.onStored(HeadObject.decode(reply.value().get(), "platform").config());
            }
        } catch (ConfigException e) {
            mContext.record(EventKind.CONFIG_REFUSED, HeadObject.KEY, 0, e.getMessage());
        }
    }
}
