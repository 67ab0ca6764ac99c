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

/** Accepts and opens connections between nodes. Safe for use by several threads. */
public final class PeerTransport implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;

    private final EventLoopGroup mGroup;
    private final PeerMetrics mMeters;
    private final AtomicLong mNextId = new AtomicLong(1);
    private Channel mServer;

    /**
     * Creates a transport.
     *
     * @param group the threads that serve the connections, not closed with the transport
     * @param meters the metrics
     */
    public PeerTransport(EventLoopGroup group, PeerMetrics meters) {
        mGroup = group;
        mMeters = meters;
    }

    /**
     * Starts to accept connections.
     *
     * @param address the address to listen on
     * @param listener takes what happens on accepted connections
     * @throws PeerException if the address can't be used
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
                    "listen", address.toString(), "address can't be used", bound.cause());
        }
        mServer = bound.channel();
    }

    /**
     * Opens a connection.
     *
     * @param address the other node's address
     * @param listener takes what happens on the connection
     * @param onOpen called once connected
     * @param onFailed called if no connection comes about
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
                channel.pipeline().addLast(new PeerHandler(listener, mMeters, id, accepted));
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
