package org.oriolewind.control;

import org.oriolewind.wire.ConfigPull;
import org.oriolewind.wire.LinkPurpose;
import org.oriolewind.wire.Member;
import org.oriolewind.wire.Welcome;

/**
 * Fetches a configuration version that was heard of along a call, if the tree does not bring it
 * soon. One fetch runs at a time. Belongs to the control thread.
 */
final class ConfigHintFetcher {
    /** Time for which the tree is given its chance. */
    private static final long PATIENCE_MILLIS = 1000;

    private static final long FETCH_TIMEOUT_MILLIS = 3000;

    private final ControlContext mContext;
    private final PendingDials mDials;
    private String mPeerAddress = "";
    private long mVersion;
    private long mStartMillis;
    private long mEndMillis = Long.MAX_VALUE;
    private long mLink = -1;

    ConfigHintFetcher(ControlContext context, PendingDials dials) {
        mContext = context;
        mDials = dials;
    }

    void onHeard(String peerAddress, long version) {
        if (mPeerAddress.isEmpty() && version > mContext.mConfig.current().version()) {
            mPeerAddress = peerAddress;
            mVersion = version;
            mStartMillis = mContext.nowMillis() + PATIENCE_MILLIS;
            mEndMillis = Long.MAX_VALUE;
        }
    }

    void tick() {
        if (mPeerAddress.isEmpty()) {
            return;
        }
        long now = mContext.nowMillis();
        if (mContext.mConfig.current().version() >= mVersion || now >= mEndMillis) {
            end();
        } else if (mEndMillis == Long.MAX_VALUE && now >= mStartMillis) {
            mEndMillis = now + FETCH_TIMEOUT_MILLIS;
            mDials.dial(mPeerAddress, this::onDialed, this::end);
        }
    }

    private void onDialed(long link) {
        if (mPeerAddress.isEmpty()) {
            mContext.mPort.close(link);
            return;
        }
        mLink = link;
        mContext.mPort.send(link, mContext.hello(LinkPurpose.LINK_PURPOSE_BRIDGE));
    }

    boolean onWelcome(long link, Welcome welcome) {
        if (link != mLink) {
            return false;
        }
        Member peer = Member.newBuilder().setNode(welcome.getNode()).build();
        ControlLink open =
                new ControlLink(
                        link, LinkPurpose.LINK_PURPOSE_PROBE, true, peer, mContext.nowMillis());
        mContext.mLinks.add(open);
        ConfigPull pull =
                ConfigPull.newBuilder()
                        .setHaveVersion(mContext.mConfig.current().version())
                        .build();
        mContext.mPort.send(link, mContext.frame().setConfigPull(pull).build());
        return true;
    }

    void onClosed(long link) {
        if (link == mLink) {
            mLink = -1;
            end();
        }
    }

    private void end() {
        if (mLink >= 0) {
            mContext.mLinks.remove(mLink);
            mContext.mPort.close(mLink);
        }
        mLink = -1;
        mPeerAddress = "";
    }
}
