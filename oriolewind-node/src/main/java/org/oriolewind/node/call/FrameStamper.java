package org.oriolewind.node.call;

import java.util.function.ObjLongConsumer;
import org.oriolewind.config.InstalledConfig;
import org.oriolewind.time.HybridClock;
import org.oriolewind.wire.Frame;

/**
 * Adds the configuration version and the hybrid time to frames on connections that carry calls, and
 * reads both from received frames. A new configuration version is therefore also propagated with
 * calls. Thread-safe.
 */
public final class FrameStamper {
    private final InstalledConfig mConfig;
    private final HybridClock mHybrid;
    private final ObjLongConsumer<String> mOnNewerVersion;

    /**
     * Creates a stamper for the connections of one node.
     *
     * @param config provides the configuration version in force
     * @param hybrid the node's hybrid clock, which received frames advance
     * @param onNewerVersion called with the address and the version of a peer that has a newer
     *     configuration
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

    /**
     * Advances the hybrid clock and reports a newer version. The version is ignored if the address
     * of the peer is empty.
     */
    void observe(Frame frame, String peerAddress) {
        mHybrid.observe(frame.getHybridTime());
        if (frame.getConfigVersion() > mConfig.current().version() && !peerAddress.isEmpty()) {
            mOnNewerVersion.accept(peerAddress, frame.getConfigVersion());
        }
    }
}
