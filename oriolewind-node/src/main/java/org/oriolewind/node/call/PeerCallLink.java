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

/**
 * One connection that carries calls to another node.
 *
 * <p>Invariants: stream ids grow and are never used twice; each call ends once; a call ends as not
 * run only if it was never written to the connection, or the other node says so. Safe for use by
 * several threads; callbacks run outside the lock.
 */
final class PeerCallLink implements PeerListener {
    /** Time beyond the deadline for which an answer is awaited, for the way back. */
    private static final long ANSWER_GRACE_MILLIS = 20;

    /** Silence, with calls overdue, after which the connection is given up. */
    private static final long SILENCE_MILLIS = 5000;

    /** Silence, with calls outstanding, after which the other node is asked for a sign of life. */
    private static final long PING_AFTER_MILLIS = 250;

    /** Time for that sign; a busy node may take some hundred milliseconds. */
    private static final long PONG_MILLIS = 400;

    private final String mPeerAddress;
    private final Member mSelf;
    private final FrameStamper mStamp;
    private final NodeClock mClock;
    private final int mMaxStreams;
    private final Consumer<Frame> mOnOther;
    private final Map<Long, Pending> mPending = new HashMap<>();
    private final List<Pending> mUnsent = new ArrayList<>();
    private PeerConnection mConnection;
    private boolean mClosed;
    private boolean mPeerEnds;
    private long mNextStream = 1;
    private long mHeardMillis;
    private long mPingMillis = Long.MIN_VALUE / 2;
    private long mOutstandingSinceMillis;

    PeerCallLink(
            String peerAddress,
            Member self,
            FrameStamper stamp,
            NodeClock clock,
            int maxStreams,
            Consumer<Frame> onOther) {
        mPeerAddress = peerAddress;
        mSelf = self;
        mStamp = stamp;
        mClock = clock;
        mMaxStreams = maxStreams;
        mOnOther = onOther;
        mHeardMillis = clock.monotonicMillis();
    }

    private record Pending(
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
        connection.send(mStamp.newFrame().setHello(hello).build());
        synchronized (this) {
            mConnection = connection;
            mHeardMillis = mClock.monotonicMillis();
            mUnsent.forEach(pending -> write(connection, pending));
            mUnsent.clear();
        }
    }

    private void onConnectFailed() {
        endAll();
    }

    /** Returns whether the connection is made and not closed. */
    synchronized boolean isOpen() {
        return mConnection != null && !mClosed;
    }

    synchronized boolean isClosed() {
        return mClosed;
    }

    /** Sends a call, or returns empty if the connection is closed. */
    Optional<Cancellable> send(CallRequest request, Consumer<CallAnswer> done) {
        Pending pending;
        NotRunReason refusal = NotRunReason.NOT_RUN_REASON_OVERLOADED;
        synchronized (this) {
            if (mClosed) {
                return Optional.empty();
            }
            boolean full =
                    mPending.size() >= mMaxStreams
                            || mConnection != null && !mConnection.isWritable();
            if (mPeerEnds) {
                refusal = NotRunReason.NOT_RUN_REASON_LEAVING;
            } else if (!full) {
                long stream = mNextStream++;
                pending =
                        new Pending(
                                stream,
                                request.toBuilder().setStream(stream).build(),
                                done,
                                mClock.monotonicMillis()
                                        + request.getTimeoutMillis()
                                        + ANSWER_GRACE_MILLIS);
                if (mPending.isEmpty()) {
                    mOutstandingSinceMillis = mClock.monotonicMillis();
                }
                mPending.put(stream, pending);
                if (mConnection == null) {
                    mUnsent.add(pending);
                } else {
                    write(mConnection, pending);
                }
                return Optional.of(() -> cancel(stream));
            }
        }
        done.accept(CallAnswers.notRun(refusal));
        return Optional.of(() -> {});
    }

    private void write(PeerConnection connection, Pending pending) {
        connection.send(mStamp.newFrame().setCallRequest(pending.request()).build());
    }

    private void cancel(long stream) {
        PeerConnection connection;
        synchronized (this) {
            if (mPending.remove(stream) == null) {
                return;
            }
            mUnsent.removeIf(pending -> pending.stream() == stream);
            connection = mConnection;
        }
        if (connection != null) {
            sendCancel(connection, stream);
        }
    }

    private void sendCancel(PeerConnection connection, long stream) {
        CallCancel cancel = CallCancel.newBuilder().setStream(stream).build();
        connection.send(mStamp.newFrame().setCallCancel(cancel).build());
    }

    @Override
    public void onHello(PeerConnection connection, Frame frame) {
        connection.abort();
    }

    @Override
    public void onFrame(PeerConnection connection, Frame frame) {
        mStamp.observe(frame, mPeerAddress);
        switch (frame.getBodyCase()) {
            case CALL_ANSWER -> onAnswer(frame.getCallAnswer());
            case CALL_GO_AWAY -> onGoAway(frame.getCallGoAway().getLastStream());
            case NODE_STATUS, DOCUMENT_SET -> onOther(frame);
            default -> connection.abort();
        }
        closeIfEnded(connection);
    }

    private void onOther(Frame frame) {
        synchronized (this) {
            mHeardMillis = mClock.monotonicMillis();
        }
        mOnOther.accept(frame);
    }

    /** Sends a frame that is no call, if the connection is open. */
    void sendOther(Frame frame) {
        PeerConnection connection;
        synchronized (this) {
            connection = mClosed ? null : mConnection;
        }
        if (connection != null) {
            connection.send(frame);
        }
    }

    /**
     * Asks the other node for a sign of life when calls are outstanding and nothing was heard.
     *
     * @return true if it has not given one in time. Its calls stay outstanding: the other node may
     *     only be slow
     */
    boolean checkStall() {
        long now = mClock.monotonicMillis();
        synchronized (this) {
            PeerConnection connection = mConnection;
            long since = Math.max(mHeardMillis, mOutstandingSinceMillis);
            if (mClosed || connection == null || mPending.isEmpty()) {
                return false;
            }
            if (now - since < PING_AFTER_MILLIS) {
                return false;
            }
            if (mPingMillis < since) {
                mPingMillis = now;
                connection.send(
                        mStamp.newFrame().setNodeStatus(NodeStatus.getDefaultInstance()).build());
                return false;
            }
            if (now - mPingMillis < PONG_MILLIS) {
                return false;
            }
        }
        return true;
    }

    /** Gives the connection up if nothing was heard on it for a time. */
    void abortIfSilent(long silenceMillis) {
        PeerConnection connection;
        synchronized (this) {
            boolean silent = mClock.monotonicMillis() - mHeardMillis > silenceMillis;
            connection = silent && !mClosed ? mConnection : null;
        }
        if (connection != null) {
            connection.abort();
        }
    }

    private void onAnswer(CallAnswer answer) {
        Pending pending;
        synchronized (this) {
            mHeardMillis = mClock.monotonicMillis();
            pending = mPending.remove(answer.getStream());
        }
        // An answer that nobody waits for any more is dropped.
        if (pending != null) {
            pending.done().accept(answer);
        }
    }

    /** The other node ends: what it has not taken is not run, for certain. */
    private void onGoAway(long lastStream) {
        List<Pending> notTaken = new ArrayList<>();
        synchronized (this) {
            mPeerEnds = true;
            for (Pending pending : mPending.values()) {
                if (pending.stream() > lastStream) {
                    notTaken.add(pending);
                }
            }
            notTaken.forEach(pending -> mPending.remove(pending.stream()));
        }
        CallAnswer notRun = CallAnswers.notRun(NotRunReason.NOT_RUN_REASON_LEAVING);
        notTaken.forEach(pending -> pending.done().accept(notRun));
    }

    private void closeIfEnded(PeerConnection connection) {
        boolean ended;
        synchronized (this) {
            ended = mPeerEnds && mPending.isEmpty();
        }
        if (ended) {
            connection.close();
        }
    }

    @Override
    public void onClosed(PeerConnection connection) {
        endAll();
    }

    private void endAll() {
        List<Pending> ended;
        List<Pending> unsent;
        synchronized (this) {
            mClosed = true;
            unsent = new ArrayList<>(mUnsent);
            mUnsent.clear();
            unsent.forEach(pending -> mPending.remove(pending.stream()));
            ended = new ArrayList<>(mPending.values());
            mPending.clear();
        }
        CallAnswer notRun = CallAnswers.notRun(NotRunReason.NOT_RUN_REASON_UNREACHABLE);
        unsent.forEach(pending -> pending.done().accept(notRun));
        ended.forEach(pending -> pending.done().accept(CallAnswers.unknown()));
    }

    void tick() {
        long now = mClock.monotonicMillis();
        List<Pending> expired = new ArrayList<>();
        List<Pending> neverSent = new ArrayList<>();
        PeerConnection connection;
        boolean silent;
        synchronized (this) {
            for (Pending pending : mPending.values()) {
                if (pending.deadlineMillis() <= now) {
                    (mUnsent.contains(pending) ? neverSent : expired).add(pending);
                }
            }
            expired.forEach(pending -> mPending.remove(pending.stream()));
            neverSent.forEach(pending -> mPending.remove(pending.stream()));
            mUnsent.removeAll(neverSent);
            connection = mConnection;
            silent = !expired.isEmpty() && now - mHeardMillis > SILENCE_MILLIS;
        }
        CallAnswer notRun = CallAnswers.notRun(NotRunReason.NOT_RUN_REASON_EXPIRED);
        neverSent.forEach(pending -> pending.done().accept(notRun));
        for (Pending pending : expired) {
            sendCancel(connection, pending.stream());
            pending.done().accept(CallAnswers.unknown());
        }
        if (silent) {
            connection.abort();
        }
    }
}
