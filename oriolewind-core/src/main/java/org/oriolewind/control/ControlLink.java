package org.oriolewind.control;

import org.oriolewind.wire.LinkPurpose;
import org.oriolewind.wire.Member;

/** One connection to another node as the control side sees it. Belongs to the control thread. */
final class ControlLink {
    final long mId;
    final LinkPurpose mPurpose;
    final boolean mDialed;
    final String mNode;
    final String mPeerAddress;
    long mPeerVersion;
    long mPeerMembersDigest;
    long mHeardMillis;
    long mWholeSentMillis;
    int mDigestMismatches;

    ControlLink(long id, LinkPurpose purpose, boolean dialed, Member peer, long nowMillis) {
        mId = id;
        mPurpose = purpose;
        mDialed = dialed;
        mNode = peer.getNode();
        mPeerAddress = peer.getPeerAddress();
        mHeardMillis = nowMillis;
        mWholeSentMillis = Long.MIN_VALUE / 2;
    }
}
