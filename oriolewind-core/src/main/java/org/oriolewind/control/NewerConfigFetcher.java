package org.oriolewind.control;

import org.oriolewind.wire.ConfigPull;
import org.oriolewind.wire.LinkPurpose;
import org.oriolewind.wire.Member;
import org.oriolewind.wire.Welcome;

/**
 * Fetches a newer configuration version, of which a node learned from a call, from the node that
 * runs it, unless the control tree delivers the version first. One fetch runs at a time. Confined
 * to the control thread.
 */
final class NewerConfigFetcher {
    /** Time given to the control tree to deliver the version before it is fetched. */
    private static final long TREE_DELIVERY_WAIT_MILLIS = 1000;

    private static final long FETCH_TIMEOUT_MILLIS = 3000;

    private final ControlContext mContext;
    private final PendingDials mPendingDials;
    private String mPeerAddress = "";
    private long mVersion;
    private long mFetchMillis;
    private long mDeadlineMillis = Long.MAX_VALUE;
    private long mLink = -1;

    NewerConfigFetcher(ControlContext context, PendingDials pendingDials) {
        mContext = context;
        mPendingDials = pendingDials;
    }

    void onNewerVersionReported(String peerAddress, long version) {
        if (mPeerAddress.isEmpty() && version > mContext.mConfig.current().version()) {
            mPeerAddress = peerAddress;
            mVersion = version;
            mFetchMillis = mContext.nowMillis() + TREE_DELIVERY_WAIT_MILLIS;
            mDeadlineMillis = Long.MAX_VALUE;
        }
    }

    void tick() {
        if (mPeerAddress.isEmpty()) {
            return;
        }
        long now = mContext.nowMillis();
        if (mContext.mConfig.current().version() >= mVersion || now >= mDeadlineMillis) {
            finish();
        } else if (mDeadlineMillis == Long.MAX_VALUE && now >= mFetchMillis) {
            mDeadlineMillis = now + FETCH_TIMEOUT_MILLIS;
            mPendingDials.dial(mPeerAddress, this::onDialed, this::finish);
        }
    }

    private void onDialed(long link) {
        if (mPeerAddress.isEmpty()) {
            mContext.mTransport.close(link);
            return;
        }
        mLink = link;
        mContext.mTransport.send(link, mContext.hello(LinkPurpose.LINK_PURPOSE_BRIDGE));
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
        mContext.mTransport.send(link, mContext.frame().setConfigPull(pull).build());
        return true;
    }

    void onClosed(long link) {
        if (link == mLink) {
            mLink = -1;
            finish();
        }
    }

    private void finish() {
        if (mLink >= 0) {
            mContext.mLinks.remove(mLink);
            mContext.mTransport.close(mLink);
        }
        mLink = -1;
        mPeerAddress = "";
    }
}
