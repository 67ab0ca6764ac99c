package org.oriolewind.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.util.ReferenceCountUtil;

/**
 * Limits the bytes that a server may send on a connection, whether or not they form a response:
 * decoders skip blank lines and interim responses without end. Raises {@link TooLongFrameException}
 * for more bytes than allowed. Confined to the event loop.
 */
final class ResponseByteLimiter extends ChannelInboundHandlerAdapter {
    private long mBytesLeft;

    /**
     * Sets the number of bytes that the server may send from now on.
     *
     * @param bytes the number, 0 while no request is in progress
     */
    void allow(long bytes) {
        mBytesLeft = bytes;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        mBytesLeft -= ((ByteBuf) message).readableBytes();
        if (mBytesLeft >= 0) {
            ctx.fireChannelRead(message);
            return;
        }
        ReferenceCountUtil.release(message);
        ctx.fireExceptionCaught(
                new TooLongFrameException("more bytes than the response to one request may have"));
    }
}
