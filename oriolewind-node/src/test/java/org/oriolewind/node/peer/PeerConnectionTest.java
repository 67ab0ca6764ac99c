package org.oriolewind.node.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.oriolewind.wire.CallRequest;
import org.oriolewind.wire.Frame;
import org.oriolewind.wire.Hello;
import org.oriolewind.wire.LinkPurpose;
import org.oriolewind.wire.Member;

class PeerConnectionTest {
    private static final int FRAMES = 100;
    private static final int FIRST_PORT = 31_100;
    private static final int LAST_PORT = 32_000;

    /** Records the stream IDs that it receives. */
    private static final class Receiver implements PeerListener {
        final List<Long> mStreams = new CopyOnWriteArrayList<>();
        final CompletableFuture<Void> mAll = new CompletableFuture<>();

        @Override
        public void onHello(PeerConnection connection, Frame frame) {
            // Only the frames after the hello are checked.
        }

        @Override
        public void onFrame(PeerConnection connection, Frame frame) {
            mStreams.add(frame.getCallRequest().getStream());
            if (mStreams.size() == FRAMES) {
                mAll.complete(null);
            }
        }

        @Override
        public void onClosed(PeerConnection connection) {
            mAll.completeExceptionally(new AssertionError("connection closed"));
        }
    }

    private static Frame request(long stream) {
        return Frame.newBuilder()
                .setCallRequest(CallRequest.newBuilder().setStream(stream))
                .build();
    }

    private static Frame hello() {
        return Frame.newBuilder()
                .setHello(
                        Hello.newBuilder()
                                .setPurpose(LinkPurpose.LINK_PURPOSE_CALLS)
                                .setSelf(Member.newBuilder().setNode("n1")))
                .build();
    }

    /**
     * Frames sent from the event loop and from other threads must leave in the order in which they
     * were sent.
     */
    @Test
    void eventLoopDoesNotOvertakeOtherThreads() throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            PeerTransport transport =
                    new PeerTransport(group, new PeerMetrics(new MetricRegistry()));
            Receiver receiver = new Receiver();
            InetSocketAddress address = listen(transport, receiver);
            transport.connect(
                    address, new Receiver(), PeerConnectionTest::sendFromTwoThreads, () -> {});
            receiver.mAll.get(20, TimeUnit.SECONDS);
            for (int i = 0; i < FRAMES; i++) {
                assertEquals(i + 1, receiver.mStreams.get(i));
            }
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    /**
     * Listens on the first free port of a range outside the ephemeral ports, so that no other
     * process is given it.
     */
    private static InetSocketAddress listen(PeerTransport transport, PeerListener listener) {
        for (int port = FIRST_PORT; port < LAST_PORT; port++) {
            InetSocketAddress address = new InetSocketAddress("127.0.0.1", port);
            try {
                transport.listen(address, listener);
                return address;
            } catch (PeerException e) {
                continue;
            }
        }
        throw new AssertionError("no free port");
    }

    /** Runs on the event loop and sends every other frame from another thread. */
    private static void sendFromTwoThreads(PeerConnection connection) {
        connection.send(hello());
        for (int i = 1; i <= FRAMES; i += 2) {
            long stream = i;
            Thread other = new Thread(() -> connection.send(request(stream)));
            other.start();
            try {
                other.join();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            connection.send(request(stream + 1));
        }
    }
}
