package org.oriolewind.node.call;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.oriolewind.node.peer.PeerConnection;
import org.oriolewind.node.peer.PeerListener;
import org.oriolewind.request.CallAnswers;
import org.oriolewind.request.CallServer;
import org.oriolewind.request.Cancellable;
import org.oriolewind.wire.CallAnswer;
import org.oriolewind.wire.CallGoAway;
import org.oriolewind.wire.CallRequest;
import org.oriolewind.wire.Frame;
import org.oriolewind.wire.KeyOperation;
import org.oriolewind.wire.NotRunReason;

/**
 * Serves the calls that other nodes send on connections of their own. Safe for use by several
 * threads.
 */
final class PeerCallServer implements PeerListener {
    private final CallServer mGate;
    private final FrameStamper mStamp;
    private final int mMaxStreams;
    private final BiConsumer<CallRequest, Consumer<CallAnswer>> mKeys;
    private final BiConsumer<PeerConnection, Frame> mOnOther;
    private final Map<Long, Peer> mPeers = new ConcurrentHashMap<>();

    PeerCallServer(
            CallServer gate,
            FrameStamper stamp,
            int maxStreams,
            BiConsumer<CallRequest, Consumer<CallAnswer>> keys,
            BiConsumer<PeerConnection, Frame> onOther) {
        mGate = gate;
        mStamp = stamp;
        mMaxStreams = maxStreams;
        mKeys = keys;
        mOnOther = onOther;
    }

    /** The calls in progress of one connection. */
    private static final class Peer {
        final Map<Long, Cancellable> mCalls = new ConcurrentHashMap<>();
        final AtomicInteger mStreams = new AtomicInteger();
        final PeerConnection mConnection;
        private long mLastStream;
        private boolean mEnding;

        Peer(PeerConnection connection) {
            mConnection = connection;
        }

        /** Takes a stream id, which must grow, so that a late answer can't meet another call. */
        synchronized Admission admit(long stream) {
            if (mEnding) {
                return Admission.IGNORED;
            }
            if (stream <= mLastStream) {
                return Admission.INVALID;
            }
            mLastStream = stream;
            return Admission.TAKEN;
        }

        /** Takes no more streams, and returns the last one taken. */
        synchronized long end() {
            mEnding = true;
            return mLastStream;
        }
    }

    /** What becomes of a request. */
    private enum Admission {
        TAKEN,
        /** The connection was told that later streams are not run. */
        IGNORED,
        INVALID
    }

    /** Tells all connections that no later call is run here. Those taken are still answered. */
    void goAway() {
        for (Peer peer : mPeers.values()) {
            CallGoAway goAway = CallGoAway.newBuilder().setLastStream(peer.end()).build();
            peer.mConnection.send(mStamp.newFrame().setCallGoAway(goAway).build());
        }
    }

    /** Returns whether no other node has a connection open that carries calls to this one. */
    boolean isIdle() {
        return mPeers.isEmpty();
    }

    /** A call that can be cancelled before the gate has returned. */
    private static final class OpenCall implements Cancellable {
        private Cancellable mCall;
        private boolean mCancelled;

        synchronized void set(Cancellable call) {
            mCall = call;
            if (mCancelled) {
                call.cancel();
            }
        }

        @Override
        public synchronized void cancel() {
            mCancelled = true;
            if (mCall != null) {
                mCall.cancel();
            }
        }
    }

    @Override
    public void onHello(PeerConnection connection, Frame frame) {
        mStamp.observe(frame, frame.getHello().getSelf().getPeerAddress());
        mPeers.put(connection.id(), new Peer(connection));
    }

    @Override
    public void onFrame(PeerConnection connection, Frame frame) {
        Peer peer = mPeers.get(connection.id());
        mStamp.observe(frame, "");
        if (peer == null) {
            return;
        }
        switch (frame.getBodyCase()) {
            case CALL_REQUEST -> onRequest(connection, peer, frame.getCallRequest());
            case CALL_CANCEL -> {
                Cancellable call = peer.mCalls.remove(frame.getCallCancel().getStream());
                if (call != null) {
                    call.cancel();
                }
            }
            case NODE_STATUS, DOCUMENT_PULL, DOCUMENT_SET -> mOnOther.accept(connection, frame);
            default -> connection.abort();
        }
    }

    private void onRequest(PeerConnection connection, Peer peer, CallRequest request) {
        Admission admission = peer.admit(request.getStream());
        if (admission == Admission.INVALID) {
            connection.abort();
        }
        if (admission != Admission.TAKEN) {
            return;
        }
        if (peer.mStreams.incrementAndGet() > mMaxStreams) {
            NotRunReason overloaded = NotRunReason.NOT_RUN_REASON_OVERLOADED;
            answer(connection, peer, request, CallAnswers.notRun(overloaded));
            return;
        }
        OpenCall open = new OpenCall();
        peer.mCalls.put(request.getStream(), open);
        if (request.getKeyOperation() == KeyOperation.KEY_OPERATION_UNSPECIFIED) {
            open.set(mGate.serve(request, answer -> answer(connection, peer, request, answer)));
        } else {
            mKeys.accept(request, answer -> answer(connection, peer, request, answer));
        }
    }

    private void answer(
            PeerConnection connection, Peer peer, CallRequest request, CallAnswer answer) {
        peer.mCalls.remove(request.getStream());
        peer.mStreams.decrementAndGet();
        CallAnswer addressed = answer.toBuilder().setStream(request.getStream()).build();
        connection.send(mStamp.newFrame().setCallAnswer(addressed).build());
    }

    @Override
    public void onClosed(PeerConnection connection) {
        Peer peer = mPeers.remove(connection.id());
        if (peer != null) {
            peer.mCalls.values().forEach(Cancellable::cancel);
        }
    }
}
