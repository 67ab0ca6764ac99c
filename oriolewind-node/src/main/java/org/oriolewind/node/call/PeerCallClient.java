package org.oriolewind.node.call;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.oriolewind.node.peer.PeerAddress;
import org.oriolewind.node.peer.PeerTransport;
import org.oriolewind.request.CallAnswers;
import org.oriolewind.request.Cancellable;
import org.oriolewind.request.PeerCallSender;
import org.oriolewind.time.NodeClock;
import org.oriolewind.wire.CallAnswer;
import org.oriolewind.wire.CallRequest;
import org.oriolewind.wire.Member;
import org.oriolewind.wire.NotRunReason;

/**
 * Sends calls to other nodes over one connection to each, which is opened on first use.
 * Thread-safe.
 */
final class PeerCallClient implements PeerCallSender {
    private final PeerTransport mTransport;
    private final Member mSelf;
    private final FrameStamper mStamper;
    private final NodeClock mClock;
    private final int mMaxStreams;
    private final Map<String, PeerCallLink> mLinks = new ConcurrentHashMap<>();

    PeerCallClient(NodeContext context, FrameStamper stamper, int maxStreams) {
        mTransport = context.transport();
        mSelf = context.self();
        mStamper = stamper;
        mClock = context.clock();
        mMaxStreams = maxStreams;
    }

    @Override
    public Cancellable send(String peerAddress, CallRequest request, Consumer<CallAnswer> done) {
        Optional<InetSocketAddress> address = PeerAddress.parse(peerAddress);
        if (address.isEmpty()) {
            done.accept(CallAnswers.notRun(NotRunReason.NOT_RUN_REASON_UNREACHABLE));
            return () -> {};
        }
        while (true) {
            PeerCallLink link = mLinks.computeIfAbsent(peerAddress, a -> newLink(a, address.get()));
            Optional<Cancellable> sent = link.send(request, done);
            if (sent.isPresent()) {
                return sent.get();
            }
            mLinks.remove(peerAddress, link);
        }
    }

    private PeerCallLink newLink(String peerAddress, InetSocketAddress address) {
        PeerCallLink link =
                new PeerCallLink(peerAddress, mSelf, mStamper, mClock, mMaxStreams, frame -> {});
        link.connect(mTransport, address);
        return link;
    }

    /** Ends calls whose deadline has passed. Must be called several times a second. */
    void tick() {
        mLinks.values().forEach(PeerCallLink::tick);
        mLinks.values().removeIf(PeerCallLink::isClosed);
    }
}
