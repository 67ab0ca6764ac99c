package org.oriolewind.node.call;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
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

/**
 * The links of a node to all others: one that it dials itself, for its calls and statuses, and
 * those that others dial. A link on which nothing is heard is given up, so that a silent path is
 * found within seconds. To be used on the event loop of the transport only.
 */
public final class PeerLinks implements PeerCallSender {
    /** Streams on one link; a gate's queue is far shorter. */
    private static final int MAX_STREAMS = 4096;

    /** A link is given up after this silence; the other side answers each status at once. */
    private static final long LINK_SILENCE_MILLIS = 2500;

    /** First and longest pause between attempts to dial a node. */
    private static final long DIAL_PAUSE_MILLIS = 250;

    private static final long MAX_DIAL_PAUSE_MILLIS = 2000;

    /** What a node does with frames that are no calls. */
    public interface FrameListener {
        /**
         * A node tells its state.
         *
         * @param status the status
         */
        void onStatus(NodeStatus status);

        /**
         * A node gives no sign of life on its link.
         *
         * @param address its address
         */
        void onPeerUnresponsive(String address);

        /**
         * A node asks for documents.
         *
         * @param kinds names of the kinds
         * @return frames with the documents
         */
        List<Frame> onPull(List<String> kinds);

        /**
         * A node gives documents.
         *
         * @param peer the node, or its address
         * @param frame the frame
         */
        void onDocuments(String peer, Frame frame);
    }

    /** A node that is dialled. */
    private static final class Target {
        PeerCallLink mLink;
        boolean mGreeted;
        long mNextDialMillis;
        long mPauseMillis = DIAL_PAUSE_MILLIS;
    }

    private final Member mSelf;
    private final NodeClock mClock;
    private final PeerTransport mTransport;
    private final FrameStamper mStamp;
    private final PeerCallServer mServer;
    private final FrameListener mListener;
    private final Map<String, Target> mTargets = new HashMap<>();

    /**
     * Creates the links. None is open.
     *
     * @param self this node
     * @param clock the clock
     * @param transport makes connections
     * @param local serves calls that others send here
     * @param listener takes frames that are no calls
     */
    public PeerLinks(
            Member self,
            NodeClock clock,
            PeerTransport transport,
            CallServer local,
            FrameListener listener) {
        mSelf = self;
        mClock = clock;
        mTransport = transport;
        mListener = listener;
        mStamp =
                new FrameStamper(
                        new InstalledConfig(), new HybridClock(clock), (peer, version) -> {});
        mServer =
                new PeerCallServer(
                        local,
                        mStamp,
                        MAX_STREAMS,
                        (request, done) ->
                                done.accept(
                                        CallAnswers.notRun(
                                                NotRunReason.NOT_RUN_REASON_KEY_UNSETTLED)),
                        this::onFrame);
    }

    /**
     * Begins to listen.
     *
     * @param address the address for other nodes
     * @throws PeerException if it can't be used
     */
    public void listen(InetSocketAddress address) throws PeerException {
        mTransport.listen(address, mServer);
    }

    private void onFrame(PeerConnection connection, Frame frame) {
        if (frame.hasNodeStatus()) {
            NodeStatus status = frame.getNodeStatus();
            // An empty status only asks for a sign of life.
            if (!status.getNode().isEmpty()) {
                mListener.onStatus(status);
                addPeer(status.getPeerAddress());
            }
            // An empty status keeps the link of the other node alive.
            connection.send(
                    mStamp.newFrame().setNodeStatus(NodeStatus.getDefaultInstance()).build());
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
     * Takes the address of another node, which is dialled from now on.
     *
     * @param address its address
     */
    public void addPeer(String address) {
        if (!address.isEmpty() && !address.equals(mSelf.getPeerAddress())) {
            if (mTargets.putIfAbsent(address, new Target()) == null) {
                dialDue();
            }
        }
    }

    /** Dials nodes that have no link, gives silent links up, ends overdue calls. */
    public void tick() {
        mTargets.forEach(
                (address, target) -> {
                    if (target.mLink != null) {
                        target.mLink.abortIfSilent(LINK_SILENCE_MILLIS);
                        target.mLink.tick();
                    }
                });
        List<Map.Entry<String, Target>> targets = new ArrayList<>(mTargets.entrySet());
        for (Map.Entry<String, Target> target : targets) {
            PeerCallLink link = target.getValue().mLink;
            if (link != null && link.checkStall()) {
                mListener.onPeerUnresponsive(target.getKey());
            }
        }
        dialDue();
    }

    private void dialDue() {
        long now = mClock.monotonicMillis();
        mTargets.forEach(
                (address, target) -> {
                    boolean down = target.mLink == null || target.mLink.isClosed();
                    if (down && now >= target.mNextDialMillis) {
                        dial(address, target, now);
                    }
                });
    }

    private void dial(String text, Target target, long now) {
        target.mNextDialMillis = now + target.mPauseMillis;
        target.mPauseMillis = Math.min(MAX_DIAL_PAUSE_MILLIS, target.mPauseMillis * 2);
        Optional<InetSocketAddress> address = PeerAddress.parse(text);
        if (address.isPresent()) {
            target.mGreeted = false;
            target.mLink =
                    new PeerCallLink(
                            text,
                            mSelf,
                            mStamp,
                            mClock,
                            MAX_STREAMS,
                            frame -> onLinkFrame(text, frame));
            PeerCallLink link = target.mLink;
            link.connect(mTransport, address.get());
        }
    }

    /**
     * Tells this node's status on all open links.
     *
     * @param whole the whole status, for links on which none was sent yet
     * @param update what has changed since the latest status
     */
    public void broadcastStatus(NodeStatus whole, NodeStatus update) {
        Frame wholeFrame = mStamp.newFrame().setNodeStatus(whole).build();
        Frame updateFrame = mStamp.newFrame().setNodeStatus(update).build();
        for (Target target : mTargets.values()) {
            if (target.mLink != null && target.mLink.isOpen()) {
                target.mPauseMillis = DIAL_PAUSE_MILLIS;
                target.mLink.sendOther(target.mGreeted ? updateFrame : wholeFrame);
                target.mGreeted = true;
            }
        }
    }

    /**
     * Sends a frame to one node, if a link to it is open.
     *
     * @param address its address
     * @param frame fills the body in
     */
    public void sendTo(String address, Consumer<Frame.Builder> frame) {
        Target target = mTargets.get(address);
        if (target != null && target.mLink != null) {
            Frame.Builder builder = mStamp.newFrame();
            frame.accept(builder);
            target.mLink.sendOther(builder.build());
        }
    }

    @Override
    public Cancellable send(String peerAddress, CallRequest request, Consumer<CallAnswer> done) {
        Target target = mTargets.get(peerAddress);
        if (target != null && target.mLink != null && target.mLink.isOpen()) {
            Optional<Cancellable> sent = target.mLink.send(request, done);
            if (sent.isPresent()) {
                return sent.get();
            }
        }
        done.accept(CallAnswers.notRun(NotRunReason.NOT_RUN_REASON_UNREACHABLE));
        return () -> {};
    }

    /**
     * Returns whether the link to a node is open.
     *
     * @param address its address
     * @return true if it is
     */
    public boolean isLinked(String address) {
        Target target = mTargets.get(address);
        return target != null && target.mLink != null && target.mLink.isOpen();
    }

    /** Tells other nodes that no later call is run here. */
    public void goAway() {
        mServer.goAway();
    }
}
