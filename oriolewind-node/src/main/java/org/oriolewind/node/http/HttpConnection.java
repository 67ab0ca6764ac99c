package org.oriolewind.node.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * One connection to a server. It carries one request at a time and is closed after anything odd: an
 * unasked or unreadable response, one that came before the request was written, an error.
 */
final class HttpConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
    /** Part of the idle time that a server states for which the connection is trusted. */
    private static final double TRUSTED_IDLE_SHARE = 0.5;

    private final Channel mChannel;
    private final Consumer<HttpConnection> mOnIdle;
    private final Consumer<HttpConnection> mOnClosed;
    private long mMaxIdleNanos;
    private HttpExchange mExchange;
    private ChannelFuture mWritten;
    private boolean mOdd;
    private long mIdleSinceNanos;

    HttpConnection(
            Channel channel,
            long maxIdleMillis,
            Consumer<HttpConnection> onIdle,
            Consumer<HttpConnection> onClosed) {
        mChannel = channel;
        mMaxIdleNanos = TimeUnit.MILLISECONDS.toNanos(maxIdleMillis);
        mOnIdle = onIdle;
        mOnClosed = onClosed;
    }

    boolean isUsable(long nowNanos) {
        return mChannel.isActive() && nowNanos - mIdleSinceNanos < mMaxIdleNanos;
    }

    void send(HttpExchange exchange) {
        mExchange = exchange;
        exchange.onSent(this);
        mWritten = mChannel.writeAndFlush(exchange.request());
    }

    void close() {
        mChannel.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
        HttpExchange exchange = mExchange;
        if (exchange == null || response.decoderResult().isFailure()) {
            fail("unreadable or unasked response");
            return;
        }
        if (!exchange.answers(response)) {
            // Bytes of an earlier exchange: the awaited response may still follow.
            mOdd = true;
            return;
        }
        mExchange = null;
        boolean keep = !mOdd && HttpUtil.isKeepAlive(response) && mWritten.isDone();
        takeIdleTime(response.headers().get("Keep-Alive"));
        exchange.succeed(response);
        if (keep && mChannel.isActive()) {
            mIdleSinceNanos = System.nanoTime();
            mOnIdle.accept(this);
        } else {
            close();
        }
    }

    private void takeIdleTime(String keepAlive) {
        if (keepAlive == null) {
            return;
        }
        for (String part : keepAlive.split(",")) {
            String[] words = part.trim().split("=");
            if (words.length == 2 && words[0].equalsIgnoreCase("timeout")) {
                try {
                    double seconds = Double.parseDouble(words[1].trim());
                    long nanos = (long) (seconds * 1e9 * TRUSTED_IDLE_SHARE);
                    mMaxIdleNanos = Math.min(mMaxIdleNanos, nanos);
                } catch (NumberFormatException e) {
                    // A time that can't be read bounds nothing; the default stays.
                    return;
                }
            }
        }
    }

    private void fail(String reason) {
        HttpExchange exchange = mExchange;
        mExchange = null;
        if (exchange != null) {
            exchange.fail(true, reason);
        }
        close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        fail(String.valueOf(cause.getMessage()));
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        fail("connection closed");
        mOnClosed.accept(this);
    }
}
