package org.oriolewind.node.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/** Accepts and opens connections between nodes. Thread-safe. */
public final class PeerTransport implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;

    private final EventLoopGroup mGroup;
    private final PeerMetrics mMetrics;
    private final AtomicLong mNextId = new AtomicLong(1);
    private Channel mServer;

    /**
     * Creates a transport that does not listen yet.
     *
     * @param group event loops that serve the connections; not shut down by {@link #close}
     * @param metrics metrics of the connections
     */
    public PeerTransport(EventLoopGroup group, PeerMetrics metrics) {
        mGroup = group;
        mMetrics = metrics;
    }

    /**
     * Starts to accept connections. Blocks until the address is bound.
     *
     * @param address local address; other nodes connect to it
     * @param listener receives the events of accepted connections
     * @throws PeerException if the address cannot be bound
     */
    public void listen(InetSocketAddress address, PeerListener listener) throws PeerException {
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(mGroup)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(initializer(listener, true))
                        .bind(address)
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new PeerException(
                    "listen", address.toString(), "cannot bind the address", bound.cause());
        }
        mServer = bound.channel();
    }

    /**
     * Opens a connection asynchronously. One of the callbacks is called on the event loop of the
     * connection.
     *
     * @param address address of the other node
     * @param listener receives the events of the connection
     * @param onOpen called once connected
     * @param onFailed called if the connection cannot be established within 1 s
     */
    public void connect(
            InetSocketAddress address,
            PeerListener listener,
            Consumer<PeerConnection> onOpen,
            Runnable onFailed) {
        ChannelFuture connect =
                new Bootstrap()
                        .group(mGroup)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                        .handler(initializer(listener, false))
                        .connect(address);
        connect.addListener(
                future -> {
                    if (future.isSuccess()) {
                        PeerHandler handler = connect.channel().pipeline().get(PeerHandler.class);
                        onOpen.accept(handler.connection());
                    } else {
                        onFailed.run();
                    }
                });
    }

    private ChannelInitializer<SocketChannel> initializer(PeerListener listener, boolean accepted) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                FrameCodecs.addCodecs(channel.pipeline());
                long id = mNextId.getAndIncrement();
                channel.pipeline().addLast(new PeerHandler(listener, mMetrics, id, accepted));
            }
        };
    }

    @Override
    public void close() {
        if (mServer != null) {
            mServer.close().awaitUninterruptibly();
        }
    }
}
