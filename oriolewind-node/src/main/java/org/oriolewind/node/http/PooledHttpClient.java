package org.oriolewind.node.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectAggregator;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import jdk.net.ExtendedSocketOptions;
import org.oriolewind.request.Cancellable;

/**
 * Exchanges requests and responses with one server, over connections that are kept and carry one
 * request at a time. To be used on its event loop only.
 */
public final class PooledHttpClient {
    private static final int MAX_LINE_BYTES = 8192;
    private static final int MAX_HEADER_BYTES = 32_768;
    private static final int MAX_CHUNK_BYTES = 65_536;

    /** Silence of a peer is found after 1 s + 2 probes of 1 s, within the usual 3 s of a fault. */
    private static final int KEEP_ALIVE_SECONDS = 1;

    private static final int KEEP_ALIVE_PROBES = 2;

    private final EventLoop mLoop;
    private final InetSocketAddress mAddress;
    private final int mMaxConnections;
    private final int mConnectTimeoutMillis;
    private final long mMaxIdleMillis;
    private final int mMaxResponseBytes;
    private final ArrayDeque<HttpConnection> mIdle = new ArrayDeque<>();
    private int mOpen;

    /**
     * Creates a client.
     *
     * @param loop the event loop
     * @param address the server
     * @param maxConnections open connections at most
     * @param connectTimeoutMillis time for a new connection
     * @param maxIdleMillis time for which an idle connection is trusted
     * @param maxResponseBytes longest response; a connection on which more comes is closed
     */
    public PooledHttpClient(
            EventLoop loop,
            InetSocketAddress address,
            int maxConnections,
            int connectTimeoutMillis,
            long maxIdleMillis,
            int maxResponseBytes) {
        mLoop = loop;
        mMaxResponseBytes = maxResponseBytes;
        mAddress = address;
        mMaxConnections = maxConnections;
        mConnectTimeoutMillis = connectTimeoutMillis;
        mMaxIdleMillis = maxIdleMillis;
    }

    /**
     * Sends a request.
     *
     * @param request the request; it is released
     * @param timeoutMillis time until the whole response must be there
     * @param listener takes the end
     * @return gives the exchange up; its connection is closed if the request was sent
     */
    public Cancellable send(
            FullHttpRequest request, long timeoutMillis, HttpResponseListener listener) {
        HttpExchange exchange = new HttpExchange(request, listener);
        exchange.setTimeout(mLoop, timeoutMillis);
        HttpConnection idle = takeIdle();
        if (idle != null) {
            idle.send(exchange);
        } else if (mOpen >= mMaxConnections) {
            exchange.fail(false, "all connections are in use");
        } else {
            connect(exchange);
        }
        return () -> exchange.abort(false);
    }

    private HttpConnection takeIdle() {
        long now = System.nanoTime();
        while (!mIdle.isEmpty()) {
            HttpConnection connection = mIdle.removeLast();
            if (connection.isUsable(now)) {
                return connection;
            }
            connection.close();
        }
        return null;
    }

    private void connect(HttpExchange exchange) {
        mOpen++;
        ChannelFuture future =
                new Bootstrap()
                        .group(mLoop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, mConnectTimeoutMillis)
                        .handler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        addHandlers(channel);
                                    }
                                })
                        .connect(mAddress);
        future.addListener(
                f -> {
                    if (f.isSuccess()) {
                        onConnected(future.channel(), exchange);
                    } else {
                        mOpen--;
                        exchange.fail(false, "no connection: " + f.cause().getMessage());
                    }
                });
    }

    private void addHandlers(Channel channel) {
        setKeepAlive(channel);
        channel.pipeline()
                .addLast(new HttpClientCodec(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES))
                .addLast(new HttpObjectAggregator(mMaxResponseBytes))
                .addLast(new HttpConnection(channel, mMaxIdleMillis, this::onIdle, this::onClosed));
    }

    /**
     * Lets the system find a peer that went silent without closing.
     *
     * @param channel a TCP channel
     */
    public static void setKeepAlive(Channel channel) {
        channel.config().setOption(ChannelOption.SO_KEEPALIVE, true);
        channel.config()
                .setOption(
                        NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE),
                        KEEP_ALIVE_SECONDS);
        channel.config()
                .setOption(
                        NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL),
                        KEEP_ALIVE_SECONDS);
        channel.config()
                .setOption(
                        NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT),
                        KEEP_ALIVE_PROBES);
    }

    private static void onConnected(Channel channel, HttpExchange exchange) {
        HttpConnection connection = channel.pipeline().get(HttpConnection.class);
        if (exchange.isEnded()) {
            connection.close();
        } else {
            connection.send(exchange);
        }
    }

    private void onIdle(HttpConnection connection) {
        mIdle.addLast(connection);
    }

    private void onClosed(HttpConnection connection) {
        mOpen--;
        mIdle.remove(connection);
    }
}
