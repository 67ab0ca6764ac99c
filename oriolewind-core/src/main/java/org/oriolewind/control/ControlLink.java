package org.oriolewind.control;

import org.oriolewind.wire.LinkPurpose;
import org.oriolewind.wire.Member;

/**
 * One open connection to another node, with what the control plane tracks for it. Confined to the
 * control thread.
 */
final class ControlLink {
    final long mId;
    final LinkPurpose mPurpose;
    final boolean mDialed;
    final String mNode;
    final String mPeerAddress;
    long mPeerConfigVersion;
    long mPeerMembersDigest;
    long mLastReceivedMillis;
    long mFullTableSentMillis;
    int mDigestMismatches;

    ControlLink(long id, LinkPurpose purpose, boolean dialed, Member peer, long nowMillis) {
        mId = id;
        mPurpose = purpose;
        mDialed = dialed;
        mNode = peer.getNode();
        mPeerAddress = peer.getPeerAddress();
        mLastReceivedMillis = nowMillis;
        mFullTableSentMillis = Long.MIN_VALUE / 2;
    }
}
