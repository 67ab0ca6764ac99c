package org.oriolewind.node.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Iterator;
import jdk.net.ExtendedSocketOptions;
import org.oriolewind.request.Cancellable;

/**
 * HTTP client for one server, with a pool of persistent connections that carry one request at a
 * time. Confined to the event loop.
 */
public final class PooledHttpClient {
    private static final int MAX_LINE_BYTES = 8192;
    private static final int MAX_HEADER_BYTES = 32_768;
    private static final int MAX_CHUNK_BYTES = 65_536;

    /**
     * Bytes accepted for a response by the largest size of its body: chunk headers and late copies
     * of earlier responses take room as well.
     */
    private static final long MAX_OVERHEAD_FACTOR = 2;

    /**
     * Bytes read from a connection per turn of the event loop. An ordinary response fits; chunks of
     * 1 byte, 6 bytes each with their headers, take a few milliseconds at most.
     */
    private static final int READ_BYTES = 10_240;

    /**
     * TCP keepalive detects an unresponsive server after 1 s idle and 2 probes at intervals of 1 s,
     * so within the 3 s that a typical fault lasts.
     */
    private static final int KEEP_ALIVE_SECONDS = 1;

    private static final int KEEP_ALIVE_PROBES = 2;

    private final EventLoop mLoop;
    private final InetSocketAddress mAddress;
    private final int mMaxConnections;
    private final int mConnectTimeoutMillis;
    private final long mMaxIdleMillis;
    private final int mMaxResponseBytes;
    private final ArrayDeque<HttpConnection> mIdleConnections = new ArrayDeque<>();
    private int mOpenConnections;

    /**
     * Creates a client without open connections.
     *
     * @param loop event loop that runs the client and its callbacks
     * @param address address of the server
     * @param maxConnections maximum number of open connections; a request that finds all of them in
     *     use fails
     * @param connectTimeoutMillis timeout for establishing a connection
     * @param maxIdleMillis time after which an idle connection is no longer reused
     * @param maxResponseBytes maximum size of a response body; a longer response closes its
     *     connection
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
     * Sends a request over an idle connection or a new one.
     *
     * @param request the request, which is released
     * @param timeoutMillis time until the complete response must have arrived
     * @param listener receives the outcome
     * @return cancels the exchange; its connection is closed if the request was sent
     */
    public Cancellable send(
            FullHttpRequest request, long timeoutMillis, HttpResponseListener listener) {
        HttpExchange exchange = new HttpExchange(request, listener);
        exchange.setTimeout(mLoop, timeoutMillis);
        HttpConnection idle = takeIdle(exchange);
        if (idle != null) {
            idle.send(exchange);
        } else if (mOpenConnections >= mMaxConnections) {
            exchange.fail(false, "all connections are in use");
        } else {
            connect(exchange);
        }
        return () -> exchange.abort(false);
    }

    private HttpConnection takeIdle(HttpExchange exchange) {
        long now = System.nanoTime();
        Iterator<HttpConnection> latestFirst = mIdleConnections.descendingIterator();
        while (latestFirst.hasNext()) {
            HttpConnection connection = latestFirst.next();
            boolean usable = connection.isUsable(now);
            if (usable && connection.hasCarried(exchange)) {
                continue;
            }
            latestFirst.remove();
            if (usable) {
                return connection;
            }
            connection.close();
        }
        return null;
    }

    private void connect(HttpExchange exchange) {
        mOpenConnections++;
        ChannelFuture future =
                new Bootstrap()
                        .group(mLoop)
                        .channelFactory(HttpChannel::new)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, mConnectTimeoutMillis)
                        .option(
                                ChannelOption.RECVBUF_ALLOCATOR,
                                new FixedRecvByteBufAllocator(READ_BYTES).maxMessagesPerRead(1))
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
                        mOpenConnections--;
                        exchange.fail(false, "connect failed: " + f.cause().getMessage());
                    }
                });
    }

    private void addHandlers(Channel channel) {
        setKeepAlive(channel);
        ResponseByteLimiter byteLimiter = new ResponseByteLimiter();
        ConnectionEndDetector endDetector = new ConnectionEndDetector();
        ResponseDecoder decoder =
                new ResponseDecoder(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES);
        channel.pipeline()
                .addLast(byteLimiter)
                .addLast(endDetector)
                .addLast(decoder)
                .addLast(new HttpRequestEncoder())
                .addLast(new HttpObjectAggregator(mMaxResponseBytes))
                .addLast(
                        new HttpConnection(
                                channel,
                                endDetector,
                                decoder,
                                byteLimiter,
                                MAX_HEADER_BYTES + MAX_OVERHEAD_FACTOR * mMaxResponseBytes,
                                mMaxIdleMillis,
                                this::onIdle,
                                this::onClosed));
    }

    /**
     * Enables TCP keepalive with short intervals, so that the operating system closes the
     * connection of a peer that became unresponsive without closing it.
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
        mIdleConnections.addLast(connection);
    }

    private void onClosed(HttpConnection connection) {
        mOpenConnections--;
        mIdleConnections.remove(connection);
    }
}
