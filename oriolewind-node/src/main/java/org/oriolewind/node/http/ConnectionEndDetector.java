package org.oriolewind.node.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import java.io.IOException;
import java.nio.channels.ClosedChannelException;

/**
 * Tells a connection that the server ended in order from one that failed or was closed on this
 * side. The decoder behind it takes any end for the end of a response without a length; an
 * exception precedes each end that did not come from the server. Needs {@link
 * io.netty.channel.ChannelOption#ALLOW_HALF_CLOSURE}, since without it all ends look alike.
 *
 * <p>Invariant: a connection is reported either as failed or as ended by the server, not as both.
 * Confined to the event loop.
 */
final class ConnectionEndDetector extends ChannelInboundHandlerAdapter {
    private boolean mEndedByServer;
    private boolean mFailed;

    /** Returns whether the server ended the connection in order, after all of its bytes. */
    boolean isEndedByServer() {
        return mEndedByServer;
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws IOException {
        if (event == ChannelInputShutdownEvent.INSTANCE) {
            if (mFailed) {
                // A read that fails is followed by this event as well.
                return;
            }
            if (((HttpChannel) ctx.channel()).hasFailed()) {
                mFailed = true;
                ctx.fireExceptionCaught(new IOException("reset after the end of the output"));
                return;
            }
            mEndedByServer = true;
        }
        ctx.fireUserEventTriggered(event);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        mFailed = true;
        ctx.fireExceptionCaught(cause);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (!mEndedByServer && !mFailed) {
            mFailed = true;
            ctx.fireExceptionCaught(new ClosedChannelException());
        }
        ctx.fireChannelInactive();
    }
}
