package org.oriolewind.node.call;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.oriolewind.config.InstalledConfig;
import org.oriolewind.node.peer.PeerAddress;
import org.oriolewind.node.peer.PeerConnection;
import org.oriolewind.node.peer.PeerException;
import org.oriolewind.node.peer.PeerTransport;
import org.oriolewind.request.CallAnswers;
import org.oriolewind.request.CallServer;
import org.oriolewind.request.Cancellable;
import org.oriolewind.request.PeerCallSender;
import org.oriolewind.time.HybridClock;
import org.oriolewind.time.NodeClock;
import org.oriolewind.wire.CallAnswer;
import org.oriolewind.wire.CallRequest;
import org.oriolewind.wire.Frame;
import org.oriolewind.wire.Member;
import org.oriolewind.wire.NodeStatus;
import org.oriolewind.wire.NotRunReason;
import org.tinylog.Logger;

/**
 * Connections of a node to all others: one to each node that it opens itself, for its calls and
 * statuses, and those that other nodes open. Frames carry the configuration version 0, because
 * operators' documents have revisions of their own. A connection on which no frame is received is
 * closed, so that an unresponsive connection is detected within seconds. Confined to the event loop
 * of the transport.
 */
public final class PeerLinks implements PeerCallSender {
    /**
     * Maximum number of calls in progress on one connection. The queue of an admission gate is far
     * shorter.
     */
    private static final int MAX_STREAMS = 4096;

    /** Time without received frames after a ping after which a connection is closed. */
    private static final long LINK_TIMEOUT_MILLIS = 2500;

    /** Initial delay before a node is dialed again; it doubles up to the maximum. */
    private static final long INITIAL_REDIAL_MILLIS = 250;

    private static final long MAX_REDIAL_MILLIS = 2000;

    /** Handles frames that carry no calls. Called on the event loop of the transport. */
    public interface FrameListener {
        /**
         * A node sent its status.
         *
         * @param status the complete status or an update
         */
        void onStatus(NodeStatus status);

        /**
         * A node did not answer a ping on its connection in time while calls were outstanding.
         *
         * @param address peer address of the node
         */
        void onPeerUnresponsive(String address);

        /**
         * A node requests documents.
         *
         * @param kinds names of the requested kinds
         * @return frames with the documents
         */
        List<Frame> onPull(List<String> kinds);

        /**
         * A node sent documents.
         *
         * @param peer peer address of the node, or the ID of its connection
         * @param frame the frame with the documents
         */
        void onDocuments(String peer, Frame frame);
    }

    /** A node that this node keeps a connection to. */
    private static final class Peer {
        final InetSocketAddress mAddress;
        PeerCallLink mLink;
        boolean mStatusSent;
        long mNextDialMillis;
        long mRedialMillis = INITIAL_REDIAL_MILLIS;

        Peer(InetSocketAddress address) {
            mAddress = address;
        }
    }

    private final Member mSelf;
    private final NodeClock mClock;
    private final PeerTransport mTransport;
    private final FrameStamper mStamper;
    private final PeerCallServer mServer;
    private final FrameListener mListener;
    private final Map<String, Peer> mPeers = new HashMap<>();

    /**
     * Creates the connections of a node. None is open.
     *
     * @param self member entry of this node
     * @param clock provides monotonic time
     * @param transport opens and accepts connections
     * @param callServer serves calls that other nodes send to this one
     * @param listener handles frames that carry no calls
     */
    public PeerLinks(
            Member self,
            NodeClock clock,
            PeerTransport transport,
            CallServer callServer,
            FrameListener listener) {
        mSelf = self;
        mClock = clock;
        mTransport = transport;
        mListener = listener;
        mStamper =
                new FrameStamper(
                        new InstalledConfig(), new HybridClock(clock), (peer, version) -> {});
        mServer =
                new PeerCallServer(
                        callServer,
                        mStamper,
                        MAX_STREAMS,
                        (request, done) ->
                                done.accept(
                                        CallAnswers.notRun(
                                                NotRunReason.NOT_RUN_REASON_KEY_UNSETTLED)),
                        this::onFrame);
    }

    /**
     * Starts to accept connections of other nodes.
     *
     * @param address local address; other nodes connect to it
     * @throws PeerException if the address cannot be bound
     */
    public void listen(InetSocketAddress address) throws PeerException {
        mTransport.listen(address, mServer);
    }

    private void onFrame(PeerConnection connection, Frame frame) {
        if (frame.hasNodeStatus()) {
            NodeStatus status = frame.getNodeStatus();
            // An empty status is only a ping.
            if (!status.getNode().isEmpty()) {
                mListener.onStatus(status);
                addPeer(status.getPeerAddress());
                return;
            }
            // The reply shows the other node that the connection is responsive.
            connection.send(
                    mStamper.newFrame().setNodeStatus(NodeStatus.getDefaultInstance()).build());
        } else if (frame.hasDocumentSet()) {
            mListener.onDocuments("connection " + connection.id(), frame);
        } else {
            mListener.onPull(frame.getDocumentPull().getKindsList()).forEach(connection::send);
        }
    }

    private void onLinkFrame(String address, Frame frame) {
        if (frame.hasDocumentSet()) {
            mListener.onDocuments(address, frame);
        }
    }

    /**
     * Adds the address of another node, to which a connection is maintained from now on.
     *
     * @param address peer address; empty, known, own and invalid addresses are ignored
     */
    public void addPeer(String address) {
        boolean known = address.equals(mSelf.getPeerAddress()) || mPeers.containsKey(address);
        if (known || address.isEmpty()) {
            return;
        }
        Optional<InetSocketAddress> socketAddress = PeerAddress.parseIp(address);
        if (socketAddress.isEmpty()) {
            Logger.warn("ignoring a node with the invalid peer address '{}'", address);
            return;
        }
        mPeers.put(address, new Peer(socketAddress.get()));
        dialDue();
    }

    /**
     * Closes unresponsive connections, ends overdue calls, reports unresponsive nodes and dials
     * nodes without a connection. Must be called several times a second.
     */
    public void tick() {
        mPeers.forEach(
                (address, peer) -> {
                    if (peer.mLink != null) {
                        peer.mLink.abortIfUnresponsive(LINK_TIMEOUT_MILLIS);
                        peer.mLink.tick();
                    }
                });
        List<Map.Entry<String, Peer>> peers = new ArrayList<>(mPeers.entrySet());
        for (Map.Entry<String, Peer> peer : peers) {
            PeerCallLink link = peer.getValue().mLink;
            if (link != null && link.checkPingTimeout()) {
                mListener.onPeerUnresponsive(peer.getKey());
            }
        }
        dialDue();
    }

    private void dialDue() {
        long now = mClock.monotonicMillis();
        mPeers.forEach(
                (address, peer) -> {
                    boolean down = peer.mLink == null || peer.mLink.isClosed();
                    if (down && now >= peer.mNextDialMillis) {
                        dial(address, peer, now);
                    }
                });
    }

    private void dial(String peerAddress, Peer peer, long now) {
        peer.mNextDialMillis = now + peer.mRedialMillis;
        peer.mRedialMillis = Math.min(MAX_REDIAL_MILLIS, peer.mRedialMillis * 2);
        peer.mStatusSent = false;
        peer.mLink =
                new PeerCallLink(
                        peerAddress,
                        mSelf,
                        mStamper,
                        mClock,
                        MAX_STREAMS,
                        frame -> onLinkFrame(peerAddress, frame));
        peer.mLink.connect(mTransport, peer.mAddress);
    }

    /**
     * Sends this node's status on open connections.
     *
     * @param full the complete status, for connections on which none was sent yet
     * @param update the changes since the latest status
     * @param skipped peer addresses of nodes that get no update now
     */
    public void broadcastStatus(NodeStatus full, NodeStatus update, Set<String> skipped) {
        Frame fullFrame = mStamper.newFrame().setNodeStatus(full).build();
        Frame updateFrame = mStamper.newFrame().setNodeStatus(update).build();
        mPeers.forEach(
                (address, peer) -> {
                    boolean due = !peer.mStatusSent || !skipped.contains(address);
                    if (due && peer.mLink != null && peer.mLink.isOpen()) {
                        peer.mRedialMillis = INITIAL_REDIAL_MILLIS;
                        peer.mLink.sendOther(peer.mStatusSent ? updateFrame : fullFrame);
                        peer.mStatusSent = true;
                    }
                });
    }

    /**
     * Pings nodes from which nothing was received for a while, so that a connection that has gone
     * silent is closed and opened anew.
     *
     * @param idleMillis time without received frames
     * @param addresses selects the nodes by their peer addresses
     */
    public void pingIdle(long idleMillis, Predicate<String> addresses) {
        mPeers.forEach(
                (address, peer) -> {
                    if (peer.mLink != null && addresses.test(address)) {
                        peer.mLink.pingIfIdle(idleMillis);
                    }
                });
    }

    /**
     * Sends a frame to one node; does nothing if there is no connection to it.
     *
     * @param address peer address of the node
     * @param frame sets the body of the frame
     */
    public void sendTo(String address, Consumer<Frame.Builder> frame) {
        Peer peer = mPeers.get(address);
        if (peer != null && peer.mLink != null) {
            Frame.Builder builder = mStamper.newFrame();
            frame.accept(builder);
            peer.mLink.sendOther(builder.build());
        }
    }

    @Override
    public Cancellable send(String peerAddress, CallRequest request, Consumer<CallAnswer> done) {
        Peer peer = mPeers.get(peerAddress);
        if (peer != null
                && peer.mLink != null
                && peer.mLink.isOpen()
                && peer.mLink.isResponsive()) {
            Optional<Cancellable> sent = peer.mLink.send(request, done);
            if (sent.isPresent()) {
                return sent.get();
            }
        }
        done.accept(CallAnswers.notRun(NotRunReason.NOT_RUN_REASON_UNREACHABLE));
        return () -> {};
    }

    /**
     * Returns whether a connection to a node is open.
     *
     * @param address peer address of the node
     */
    public boolean isConnected(String address) {
        Peer peer = mPeers.get(address);
        return peer != null && peer.mLink != null && peer.mLink.isOpen();
    }

    /**
     * Announces to other nodes that calls sent from now on are not run here. Accepted calls are
     * still answered.
     */
    public void goAway() {
        mServer.goAway();
    }
}
