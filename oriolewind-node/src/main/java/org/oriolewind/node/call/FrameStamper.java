package org.oriolewind.node.call;

import java.util.function.ObjLongConsumer;
import org.oriolewind.config.InstalledConfig;
import org.oriolewind.time.HybridClock;
import org.oriolewind.wire.Frame;

/**
 * Puts the configuration version and the time on frames of calls, and learns from those received,
 * so that news of a version also spreads along calls. Safe for use by several threads.
 */
public final class FrameStamper {
    private final InstalledConfig mConfig;
    private final HybridClock mHybrid;
    private final ObjLongConsumer<String> mOnNewerVersion;

    /**
     * Creates a stamp.
     *
     * @param config the configuration in force
     * @param hybrid the clock
     * @param onNewerVersion told of the peer address and version when a peer has a newer one
     */
    public FrameStamper(
            InstalledConfig config, HybridClock hybrid, ObjLongConsumer<String> onNewerVersion) {
        mConfig = config;
        mHybrid = hybrid;
        mOnNewerVersion = onNewerVersion;
    }

    Frame.Builder newFrame() {
        return Frame.newBuilder()
                .setConfigVersion(mConfig.current().version())
                .setHybridTime(mHybrid.next());
    }

    void observe(Frame frame, String peerAddress) {
        mHybrid.observe(frame.getHybridTime());
        if (frame.getConfigVersion() > mConfig.current().version() && !peerAddress.isEmpty()) {
            mOnNewerVersion.accept(peerAddress, frame.getConfigVersion());
        }
    }
}
