package org.oriolewind.node.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * One connection to a server, which carries one request at a time, and each request ID at most
 * once: a late copy of the first response would answer a second request with the ID. It is reused
 * only after a response that leaves nothing behind which the next request could be given; see
 * {@link #isReusableAfter}. Confined to the event loop.
 */
final class HttpConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
    /** Share of the idle timeout stated by the server for which an idle connection is reused. */
    private static final double USED_IDLE_SHARE = 0.5;

    /** Bounds the memory for the IDs of a connection; it is closed after so many. */
    private static final int MAX_REQUEST_IDS = 128;

    private final Channel mChannel;
    private final ConnectionEndDetector mEndDetector;
    private final ResponseDecoder mDecoder;
    private final ResponseByteLimiter mByteLimiter;
    private final long mMaxReceivedBytes;
    private final Consumer<HttpConnection> mOnIdle;
    private final Consumer<HttpConnection> mOnClosed;
    private final Set<String> mRequestIds = new HashSet<>();
    private long mMaxIdleNanos;
    private HttpExchange mExchange;
    private ChannelFuture mWriteFuture;
    private boolean mUnexpectedResponse;
    private long mIdleSinceNanos;

    HttpConnection(
            Channel channel,
            ConnectionEndDetector endDetector,
            ResponseDecoder decoder,
            ResponseByteLimiter byteLimiter,
            long maxReceivedBytes,
            long maxIdleMillis,
            Consumer<HttpConnection> onIdle,
            Consumer<HttpConnection> onClosed) {
        mChannel = channel;
        mEndDetector = endDetector;
        mDecoder = decoder;
        mByteLimiter = byteLimiter;
        mMaxReceivedBytes = maxReceivedBytes;
        mMaxIdleNanos = TimeUnit.MILLISECONDS.toNanos(maxIdleMillis);
        mOnIdle = onIdle;
        mOnClosed = onClosed;
    }

    boolean isUsable(long nowNanos) {
        return mChannel.isActive() && nowNanos - mIdleSinceNanos < mMaxIdleNanos;
    }

    /** Returns whether a request with the same ID has been sent on this connection. */
    boolean hasCarried(HttpExchange exchange) {
        return exchange.requestId().filter(mRequestIds::contains).isPresent();
    }

    void send(HttpExchange exchange) {
        mExchange = exchange;
        exchange.requestId().ifPresent(mRequestIds::add);
        mDecoder.onRequest(exchange.request().method());
        mByteLimiter.allow(mMaxReceivedBytes);
        exchange.onSent(this);
        mWriteFuture = mChannel.writeAndFlush(exchange.request());
    }

    void close() {
        mChannel.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
        HttpExchange exchange = mExchange;
        if (exchange == null || !ResponseSyntax.isValid(response)) {
            fail("malformed or unsolicited response");
            return;
        }
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            // An interim response may name the request, but the answer may still follow.
            mUnexpectedResponse = true;
            return;
        }
        HttpResponseListener.Match match = exchange.match(response);
        if (match == HttpResponseListener.Match.OTHER) {
            // The response belongs to an earlier exchange; the expected one may still follow.
            mUnexpectedResponse = true;
            return;
        }
        if (mEndDetector.isEndedByServer() && !mWriteFuture.isDone()) {
            // A server that closes with a part of the request unread resets the connection next.
            fail("connection ended by the server before it read the request");
            return;
        }
        boolean identified = match == HttpResponseListener.Match.OWN;
        if (!identified && (mUnexpectedResponse || !mWriteFuture.isDone())) {
            fail("response without a request id that may belong to an earlier request");
            return;
        }
        mExchange = null;
        boolean reusable = identified && isReusableAfter(response);
        applyKeepAliveTimeout(response.headers().get("Keep-Alive"));
        exchange.succeed(
                response,
                mEndDetector.isEndedByServer()
                        ? HttpResponseListener.End.CONNECTION
                        : HttpResponseListener.End.MESSAGE);
        if (reusable && mChannel.isActive()) {
            mIdleSinceNanos = System.nanoTime();
            mByteLimiter.allow(0);
            mOnIdle.accept(this);
        } else {
            close();
        }
    }

    /**
     * Returns whether another request may follow a response that names its request. A response that
     * doesn't name it may be written once more, which can't be told from the answer to the next
     * request.
     */
    private boolean isReusableAfter(FullHttpResponse response) {
        return HttpUtil.isKeepAlive(response)
                && mWriteFuture.isDone()
                && !mUnexpectedResponse
                && !mDecoder.hasUndecodedBytes()
                && !mEndDetector.isEndedByServer()
                && mRequestIds.size() < MAX_REQUEST_IDS;
    }

    private void applyKeepAliveTimeout(String keepAlive) {
        if (keepAlive == null) {
            return;
        }
        for (String parameter : keepAlive.split(",")) {
            String[] nameAndValue = parameter.trim().split("=");
            if (nameAndValue.length == 2 && nameAndValue[0].equalsIgnoreCase("timeout")) {
                try {
                    double seconds = Double.parseDouble(nameAndValue[1].trim());
                    long nanos = (long) (seconds * 1e9 * USED_IDLE_SHARE);
                    mMaxIdleNanos = Math.min(mMaxIdleNanos, nanos);
                } catch (NumberFormatException e) {
                    // An unreadable timeout is ignored; the configured maximum still applies.
                    return;
                }
            }
        }
    }

    /** Returns why the connection failed; a write that failed comes before its consequences. */
    private String describeFailure(Throwable cause) {
        Throwable writeFailure = mWriteFuture == null ? null : mWriteFuture.cause();
        return writeFailure == null ? String.valueOf(cause) : "write failed: " + writeFailure;
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
        fail(describeFailure(cause));
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event == ChannelInputShutdownEvent.INSTANCE) {
            fail("connection ended by the server");
        }
        ctx.fireUserEventTriggered(event);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        fail("connection closed");
        mOnClosed.accept(this);
    }
}
