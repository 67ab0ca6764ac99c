package org.oriolewind.node.peer;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.oriolewind.wire.Frame;
import org.oriolewind.wire.Hello;
import org.oriolewind.wire.LinkPurpose;
import org.oriolewind.wire.Member;

/** Asks nodes for the configuration version they run. Stateless. */
public final class VersionProbe {
    private static final long TIMEOUT_MILLIS = 2000;

    private VersionProbe() {}

    /**
     * Asks all members at once and waits for their answers.
     *
     * @param members the members
     * @return versions by node name, without the nodes that did not answer
     */
    public static Map<String, Long> ask(List<Member> members) {
        Map<String, Long> versions = new ConcurrentHashMap<>();
        CountDownLatch open = new CountDownLatch(members.size());
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            PeerTransport transport =
                    new PeerTransport(group, new PeerMetrics(new MetricRegistry()));
            members.forEach(member -> ask(transport, member, versions, open));
            open.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        }
        return versions;
    }

    private static void ask(
            PeerTransport transport,
            Member member,
            Map<String, Long> versions,
            CountDownLatch open) {
        Optional<InetSocketAddress> address = PeerAddress.parse(member.getPeerAddress());
        if (address.isEmpty()) {
            open.countDown();
            return;
        }
        Answer answer = new Answer(member.getNode(), versions, open);
        transport.connect(address.get(), answer, VersionProbe::sendHello, open::countDown);
    }

    private static void sendHello(PeerConnection connection) {
        Hello hello =
                Hello.newBuilder()
                        .setPurpose(LinkPurpose.LINK_PURPOSE_PROBE)
                        .setSelf(Member.newBuilder().setNode("oriolewind"))
                        .build();
        connection.send(Frame.newBuilder().setHello(hello).build());
    }

    private record Answer(String node, Map<String, Long> versions, CountDownLatch open)
            implements PeerListener {
        @Override
        public void onHello(PeerConnection connection, Frame frame) {
            connection.abort();
        }

        @Override
        public void onFrame(PeerConnection connection, Frame frame) {
            if (frame.hasWelcome() && frame.getWelcome().getNode().equals(node)) {
                versions.put(node, frame.getConfigVersion());
            }
            connection.abort();
        }

        @Override
        public void onClosed(PeerConnection connection) {
            open.countDown();
        }
    }
}
