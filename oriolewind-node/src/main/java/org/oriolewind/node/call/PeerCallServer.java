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

/** Serves calls that other nodes send over the connections that they opened. Thread-safe. */
final class PeerCallServer implements PeerListener {
    private final CallServer mCallServer;
    private final FrameStamper mStamper;
    private final int mMaxStreams;
    private final BiConsumer<CallRequest, Consumer<CallAnswer>> mKeyRequestHandler;
    private final BiConsumer<PeerConnection, Frame> mOnOtherFrame;
    private final Map<Long, PeerStreams> mStreamsByConnection = new ConcurrentHashMap<>();

    PeerCallServer(
            CallServer callServer,
            FrameStamper stamper,
            int maxStreams,
            BiConsumer<CallRequest, Consumer<CallAnswer>> keyRequestHandler,
            BiConsumer<PeerConnection, Frame> onOtherFrame) {
        mCallServer = callServer;
        mStamper = stamper;
        mMaxStreams = maxStreams;
        mKeyRequestHandler = keyRequestHandler;
        mOnOtherFrame = onOtherFrame;
    }

    /** The calls in progress on one connection. */
    private static final class PeerStreams {
        final Map<Long, Cancellable> mCalls = new ConcurrentHashMap<>();
        final AtomicInteger mOpenStreams = new AtomicInteger();
        final PeerConnection mConnection;
        private long mLastStream;
        private boolean mGoingAway;

        PeerStreams(PeerConnection connection) {
            mConnection = connection;
        }

        /**
         * Accepts a stream ID. IDs must increase, so that a late answer cannot be matched to
         * another call.
         */
        synchronized Admission admit(long stream) {
            if (mGoingAway) {
                return Admission.IGNORED;
            }
            if (stream <= mLastStream) {
                return Admission.INVALID;
            }
            mLastStream = stream;
            return Admission.ACCEPTED;
        }

        /** Accepts no more streams and returns the last accepted ID. */
        synchronized long end() {
            mGoingAway = true;
            return mLastStream;
        }
    }

    /** Decision on the stream ID of a request. */
    private enum Admission {
        ACCEPTED,
        /** The request is dropped: the other node was notified that later streams are not run. */
        IGNORED,
        INVALID
    }

    /**
     * Announces to all connected nodes that calls sent from now on are not run here. Accepted calls
     * are still answered.
     */
    void goAway() {
        for (PeerStreams streams : mStreamsByConnection.values()) {
            CallGoAway goAway = CallGoAway.newBuilder().setLastStream(streams.end()).build();
            streams.mConnection.send(mStamper.newFrame().setCallGoAway(goAway).build());
        }
    }

    /** Returns whether no other node has a connection open that carries calls to this one. */
    boolean isIdle() {
        return mStreamsByConnection.isEmpty();
    }

    /** A call that can be cancelled before the call server has returned its handle. */
    private static final class PendingCall implements Cancellable {
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
        mStamper.observe(frame, frame.getHello().getSelf().getPeerAddress());
        mStreamsByConnection.put(connection.id(), new PeerStreams(connection));
    }

    @Override
    public void onFrame(PeerConnection connection, Frame frame) {
        PeerStreams streams = mStreamsByConnection.get(connection.id());
        mStamper.observe(frame, "");
        if (streams == null) {
            return;
        }
        switch (frame.getBodyCase()) {
            case CALL_REQUEST -> onRequest(connection, streams, frame.getCallRequest());
            case CALL_CANCEL -> {
                Cancellable call = streams.mCalls.remove(frame.getCallCancel().getStream());
                if (call != null) {
                    call.cancel();
                }
            }
            case NODE_STATUS, DOCUMENT_PULL, DOCUMENT_SET ->
                    mOnOtherFrame.accept(connection, frame);
            default -> connection.abort();
        }
    }

    private void onRequest(PeerConnection connection, PeerStreams streams, CallRequest request) {
        Admission admission = streams.admit(request.getStream());
        if (admission == Admission.INVALID) {
            connection.abort();
        }
        if (admission != Admission.ACCEPTED) {
            return;
        }
        if (streams.mOpenStreams.incrementAndGet() > mMaxStreams) {
            NotRunReason overloaded = NotRunReason.NOT_RUN_REASON_OVERLOADED;
            answer(connection, streams, request, CallAnswers.notRun(overloaded));
            return;
        }
        PendingCall pending = new PendingCall();
        streams.mCalls.put(request.getStream(), pending);
        if (request.getKeyOperation() == KeyOperation.KEY_OPERATION_UNSPECIFIED) {
            pending.set(
                    mCallServer.serve(
                            request, answer -> answer(connection, streams, request, answer)));
        } else {
            mKeyRequestHandler.accept(
                    request, answer -> answer(connection, streams, request, answer));
        }
    }

    private void answer(
            PeerConnection connection,
            PeerStreams streams,
            CallRequest request,
            CallAnswer answer) {
        streams.mCalls.remove(request.getStream());
        streams.mOpenStreams.decrementAndGet();
        CallAnswer withStream = answer.toBuilder().setStream(request.getStream()).build();
        connection.send(mStamper.newFrame().setCallAnswer(withStream).build());
    }

    @Override
    public void onClosed(PeerConnection connection) {
        PeerStreams streams = mStreamsByConnection.remove(connection.id());
        if (streams != null) {
            streams.mCalls.values().forEach(Cancellable::cancel);
        }
    }
}
