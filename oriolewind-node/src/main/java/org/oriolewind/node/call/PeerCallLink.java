package org.oriolewind.node.call;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.oriolewind.node.peer.PeerConnection;
import org.oriolewind.node.peer.PeerListener;
import org.oriolewind.node.peer.PeerTransport;
import org.oriolewind.request.CallAnswers;
import org.oriolewind.request.Cancellable;
import org.oriolewind.time.NodeClock;
import org.oriolewind.wire.CallAnswer;
import org.oriolewind.wire.CallCancel;
import org.oriolewind.wire.CallRequest;
import org.oriolewind.wire.Frame;
import org.oriolewind.wire.Hello;
import org.oriolewind.wire.LinkPurpose;
import org.oriolewind.wire.Member;
import org.oriolewind.wire.NodeStatus;
import org.oriolewind.wire.NotRunReason;
import org.tinylog.Logger;

/**
 * One connection that carries calls to another node.
 *
 * <p>Invariants: stream IDs increase and are never reused; each call ends exactly once; a call ends
 * as not run only if it was never written to the connection, or if the other node reports that.
 * Thread-safe; callbacks run outside the lock.
 */
final class PeerCallLink implements PeerListener {
    /**
     * Time after the deadline for which an answer is still awaited, for its transfer to this node.
     */
    private static final long ANSWER_GRACE_MILLIS = 20;

    /** Time without received frames after which a connection with overdue calls is closed. */
    private static final long UNRESPONSIVE_MILLIS = 5000;

    /** Time without received frames, with calls outstanding, after which a ping is sent. */
    private static final long PING_AFTER_MILLIS = 250;

    /** Timeout of the ping; a busy node may take some hundred milliseconds to answer. */
    private static final long PING_TIMEOUT_MILLIS = 400;

    private final String mPeerAddress;
    private final Member mSelf;
    private final FrameStamper mStamper;
    private final NodeClock mClock;
    private final int mMaxStreams;
    private final Consumer<Frame> mOnOtherFrame;
    private final Map<Long, PendingCall> mPendingCalls = new HashMap<>();
    private final List<PendingCall> mUnsentCalls = new ArrayList<>();
    private PeerConnection mConnection;
    private boolean mClosed;
    private boolean mPeerGoingAway;
    private long mNextStream = 1;
    private long mLastReceivedMillis;
    private Optional<Long> mUnansweredPingMillis = Optional.empty();
    private boolean mPingTimeoutLogged;
    private long mOutstandingSinceMillis;

    PeerCallLink(
            String peerAddress,
            Member self,
            FrameStamper stamper,
            NodeClock clock,
            int maxStreams,
            Consumer<Frame> onOtherFrame) {
        mPeerAddress = peerAddress;
        mSelf = self;
        mStamper = stamper;
        mClock = clock;
        mMaxStreams = maxStreams;
        mOnOtherFrame = onOtherFrame;
        mLastReceivedMillis = clock.monotonicMillis();
    }

    private record PendingCall(
            long stream, CallRequest request, Consumer<CallAnswer> done, long deadlineMillis) {}

    void connect(PeerTransport transport, InetSocketAddress address) {
        transport.connect(address, this, this::onOpen, this::onConnectFailed);
    }

    private void onOpen(PeerConnection connection) {
        Hello hello =
                Hello.newBuilder()
                        .setPurpose(LinkPurpose.LINK_PURPOSE_CALLS)
                        .setSelf(mSelf)
                        .build();
        connection.send(mStamper.newFrame().setHello(hello).build());
        synchronized (this) {
            mConnection = connection;
            mLastReceivedMillis = mClock.monotonicMillis();
            mUnsentCalls.forEach(pending -> write(connection, pending));
            mUnsentCalls.clear();
        }
    }

    private void onConnectFailed() {
        endAllCalls();
    }

    /** Returns whether the connection is established and not closed. */
    synchronized boolean isOpen() {
        return mConnection != null && !mClosed;
    }

    synchronized boolean isClosed() {
        return mClosed;
    }

    /**
     * Sends a call, or queues it until the connection is established.
     *
     * @return cancels the call; empty if the connection is closed and the call was not accepted
     */
    Optional<Cancellable> send(CallRequest request, Consumer<CallAnswer> done) {
        PendingCall pending;
        NotRunReason refusal = NotRunReason.NOT_RUN_REASON_OVERLOADED;
        synchronized (this) {
            if (mClosed) {
                return Optional.empty();
            }
            boolean full =
                    mPendingCalls.size() >= mMaxStreams
                            || mConnection != null && !mConnection.isWritable();
            if (mPeerGoingAway) {
                refusal = NotRunReason.NOT_RUN_REASON_LEAVING;
            } else if (!full) {
                long stream = mNextStream++;
                pending =
                        new PendingCall(
                                stream,
                                request.toBuilder().setStream(stream).build(),
                                done,
                                mClock.monotonicMillis()
                                        + request.getTimeoutMillis()
                                        + ANSWER_GRACE_MILLIS);
                if (mPendingCalls.isEmpty()) {
                    mOutstandingSinceMillis = mClock.monotonicMillis();
                }
                mPendingCalls.put(stream, pending);
                if (mConnection == null) {
                    mUnsentCalls.add(pending);
                } else {
                    write(mConnection, pending);
                }
                return Optional.of(() -> cancel(stream));
            }
        }
        done.accept(CallAnswers.notRun(refusal));
        return Optional.of(() -> {});
    }

    private void write(PeerConnection connection, PendingCall pending) {
        connection.send(mStamper.newFrame().setCallRequest(pending.request()).build());
    }

    private void cancel(long stream) {
        PeerConnection connection;
        synchronized (this) {
            if (mPendingCalls.remove(stream) == null) {
                return;
            }
            mUnsentCalls.removeIf(pending -> pending.stream() == stream);
            connection = mConnection;
        }
        if (connection != null) {
            sendCancel(connection, stream);
        }
    }

    private void sendCancel(PeerConnection connection, long stream) {
        CallCancel cancel = CallCancel.newBuilder().setStream(stream).build();
        connection.send(mStamper.newFrame().setCallCancel(cancel).build());
    }

    @Override
    public void onHello(PeerConnection connection, Frame frame) {
        connection.abort();
    }

    @Override
    public void onFrame(PeerConnection connection, Frame frame) {
        mStamper.observe(frame, mPeerAddress);
        switch (frame.getBodyCase()) {
            case CALL_ANSWER -> onAnswer(frame.getCallAnswer());
            case CALL_GO_AWAY -> onGoAway(frame.getCallGoAway().getLastStream());
            case NODE_STATUS, DOCUMENT_SET -> onOtherFrame(frame);
            default -> connection.abort();
        }
        closeIfDrained(connection);
    }

    private void onOtherFrame(Frame frame) {
        synchronized (this) {
            recordReceived();
        }
        mOnOtherFrame.accept(frame);
    }

    /** Sends a frame that carries no call, if the connection is open. */
    void sendOther(Frame frame) {
        PeerConnection connection;
        synchronized (this) {
            connection = mClosed ? null : mConnection;
        }
        if (connection != null) {
            connection.send(frame);
        }
    }

    private void recordReceived() {
        mLastReceivedMillis = mClock.monotonicMillis();
        if (mPingTimeoutLogged) {
            mPingTimeoutLogged = false;
            Logger.info("node at {} is responsive again", mPeerAddress);
        }
        mUnansweredPingMillis = Optional.empty();
    }

    /** Returns whether no ping has been unanswered for longer than its timeout. */
    synchronized boolean isResponsive() {
        long now = mClock.monotonicMillis();
        return mUnansweredPingMillis.filter(sent -> now - sent >= PING_TIMEOUT_MILLIS).isEmpty();
    }

    /** Sends a ping to the other node if no frame was received for the given time. */
    void pingIfIdle(long idleMillis) {
        PeerConnection connection;
        synchronized (this) {
            long now = mClock.monotonicMillis();
            boolean pinged = mUnansweredPingMillis.isPresent();
            boolean due = !pinged && now - mLastReceivedMillis >= idleMillis;
            connection = due && !mClosed ? mConnection : null;
            if (connection != null) {
                mUnansweredPingMillis = Optional.of(now);
            }
        }
        if (connection != null) {
            sendPing(connection);
        }
    }

    private void sendPing(PeerConnection connection) {
        connection.send(mStamper.newFrame().setNodeStatus(NodeStatus.getDefaultInstance()).build());
    }

    /**
     * Sends a ping to the other node when calls are outstanding and no frame was received for a
     * while.
     *
     * @return true if the ping has timed out. Its calls stay outstanding, because the other node
     *     may only be slow
     */
    boolean checkPingTimeout() {
        long now = mClock.monotonicMillis();
        synchronized (this) {
            PeerConnection connection = mConnection;
            long lastActivityMillis = Math.max(mLastReceivedMillis, mOutstandingSinceMillis);
            if (mClosed || connection == null || mPendingCalls.isEmpty()) {
                return false;
            }
            if (now - lastActivityMillis < PING_AFTER_MILLIS) {
                return false;
            }
            if (mUnansweredPingMillis.isPresent()) {
                long unansweredMillis = now - mUnansweredPingMillis.get();
                logPingTimeout(unansweredMillis);
                return unansweredMillis >= PING_TIMEOUT_MILLIS;
            }
            mUnansweredPingMillis = Optional.of(now);
            sendPing(connection);
            return false;
        }
    }

    private void logPingTimeout(long unansweredMillis) {
        if (unansweredMillis >= PING_TIMEOUT_MILLIS && !mPingTimeoutLogged) {
            mPingTimeoutLogged = true;
            Logger.info(
                    "node at {} is unresponsive: ping unanswered for {} ms, nothing received for {}"
                            + " ms, {} calls outstanding",
                    mPeerAddress,
                    unansweredMillis,
                    mClock.monotonicMillis() - mLastReceivedMillis,
                    mPendingCalls.size());
        }
    }

    /** Closes the connection if a ping has been unanswered for the given time. */
    void abortIfUnresponsive(long timeoutMillis) {
        PeerConnection connection;
        synchronized (this) {
            long now = mClock.monotonicMillis();
            boolean unresponsive =
                    mUnansweredPingMillis.filter(sent -> now - sent > timeoutMillis).isPresent();
            connection = unresponsive && !mClosed ? mConnection : null;
        }
        if (connection != null) {
            connection.abort();
        }
    }

    private void onAnswer(CallAnswer answer) {
        PendingCall pending;
        synchronized (this) {
            recordReceived();
            pending = mPendingCalls.remove(answer.getStream());
        }
        // An answer to a call that has already ended is dropped.
        if (pending != null) {
            pending.done().accept(answer);
        }
    }

    /** The other node shuts down: calls that it has not accepted are certainly not run. */
    private void onGoAway(long lastStream) {
        List<PendingCall> notAccepted = new ArrayList<>();
        synchronized (this) {
            mPeerGoingAway = true;
            for (PendingCall pending : mPendingCalls.values()) {
                if (pending.stream() > lastStream) {
                    notAccepted.add(pending);
                }
            }
            notAccepted.forEach(pending -> mPendingCalls.remove(pending.stream()));
        }
        CallAnswer notRun = CallAnswers.notRun(NotRunReason.NOT_RUN_REASON_LEAVING);
        notAccepted.forEach(pending -> pending.done().accept(notRun));
    }

    private void closeIfDrained(PeerConnection connection) {
        boolean ended;
        synchronized (this) {
            ended = mPeerGoingAway && mPendingCalls.isEmpty();
        }
        if (ended) {
            connection.close();
        }
    }

    @Override
    public void onClosed(PeerConnection connection) {
        endAllCalls();
    }

    private void endAllCalls() {
        List<PendingCall> ended;
        List<PendingCall> unsent;
        synchronized (this) {
            mClosed = true;
            unsent = new ArrayList<>(mUnsentCalls);
            mUnsentCalls.clear();
            unsent.forEach(pending -> mPendingCalls.remove(pending.stream()));
            ended = new ArrayList<>(mPendingCalls.values());
            mPendingCalls.clear();
        }
        CallAnswer notRun = CallAnswers.notRun(NotRunReason.NOT_RUN_REASON_UNREACHABLE);
        unsent.forEach(pending -> pending.done().accept(notRun));
        ended.forEach(pending -> pending.done().accept(CallAnswers.unknown()));
    }

    void tick() {
        long now = mClock.monotonicMillis();
        List<PendingCall> expired = new ArrayList<>();
        List<PendingCall> expiredUnsent = new ArrayList<>();
        PeerConnection connection;
        boolean unresponsive;
        synchronized (this) {
            for (PendingCall pending : mPendingCalls.values()) {
                if (pending.deadlineMillis() <= now) {
                    (mUnsentCalls.contains(pending) ? expiredUnsent : expired).add(pending);
                }
            }
            expired.forEach(pending -> mPendingCalls.remove(pending.stream()));
            expiredUnsent.forEach(pending -> mPendingCalls.remove(pending.stream()));
            mUnsentCalls.removeAll(expiredUnsent);
            connection = mConnection;
            unresponsive = !expired.isEmpty() && now - mLastReceivedMillis > UNRESPONSIVE_MILLIS;
        }
        CallAnswer notRun = CallAnswers.notRun(NotRunReason.NOT_RUN_REASON_EXPIRED);
        expiredUnsent.forEach(pending -> pending.done().accept(notRun));
        for (PendingCall pending : expired) {
            sendCancel(connection, pending.stream());
            pending.done().accept(CallAnswers.unknown());
        }
        if (unresponsive) {
            connection.abort();
        }
    }
}
