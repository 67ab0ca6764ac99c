package org.oriolewind.dispatch;

import java.util.Optional;
import org.oriolewind.loadbalancing.FleetMember;
import org.oriolewind.request.Cancellable;

/**
 * One call of a request to one node. Invariant: a call whose peer became unresponsive stays open,
 * since the peer may still run it. Not thread-safe.
 */
final class Attempt {
    private final FleetMember mMember;
    private final long mStartMillis;
    private Optional<Cancellable> mCall = Optional.empty();
    private boolean mPeerUnresponsive;

    Attempt(FleetMember member, long startMillis) {
        mMember = member;
        mStartMillis = startMillis;
    }

    FleetMember member() {
        return mMember;
    }

    /** Returns the start of the attempt in monotonic milliseconds. */
    long startMillis() {
        return mStartMillis;
    }

    void setCall(Cancellable call) {
        mCall = Optional.of(call);
    }

    void cancel() {
        mCall.ifPresent(Cancellable::cancel);
    }

    /** Returns whether the call was sent to the node with the given peer address. */
    boolean isSentTo(String peerAddress) {
        return mMember.status().getPeerAddress().equals(peerAddress);
    }

    boolean isPeerUnresponsive() {
        return mPeerUnresponsive;
    }

    void onPeerUnresponsive() {
        mPeerUnresponsive = true;
    }
}
