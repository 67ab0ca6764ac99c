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

/** Queries nodes for the configuration version that they run. Stateless. */
public final class ConfigVersionQuery {
    private static final long TIMEOUT_MILLIS = 2000;

    private ConfigVersionQuery() {}

    /**
     * Queries all members concurrently and waits up to 2 s for their answers.
     *
     * @param members the members to query
     * @return configuration versions by node name, without the nodes that did not answer in time
     */
    public static Map<String, Long> query(List<Member> members) {
        Map<String, Long> versions = new ConcurrentHashMap<>();
        CountDownLatch pending = new CountDownLatch(members.size());
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            PeerTransport transport =
                    new PeerTransport(group, new PeerMetrics(new MetricRegistry()));
            members.forEach(member -> query(transport, member, versions, pending));
            pending.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        }
        return versions;
    }

    private static void query(
            PeerTransport transport,
            Member member,
            Map<String, Long> versions,
            CountDownLatch pending) {
        Optional<InetSocketAddress> address = PeerAddress.parse(member.getPeerAddress());
        if (address.isEmpty()) {
            pending.countDown();
            return;
        }
        AnswerListener listener = new AnswerListener(member.getNode(), versions, pending);
        transport.connect(
                address.get(), listener, ConfigVersionQuery::sendHello, pending::countDown);
    }

    private static void sendHello(PeerConnection connection) {
        Hello hello =
                Hello.newBuilder()
                        .setPurpose(LinkPurpose.LINK_PURPOSE_PROBE)
                        .setSelf(Member.newBuilder().setNode("oriolewind"))
                        .build();
        connection.send(Frame.newBuilder().setHello(hello).build());
    }

    private record AnswerListener(String node, Map<String, Long> versions, CountDownLatch pending)
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
            pending.countDown();
        }
    }
}
