package org.oriolewind.node.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.concurrent.TimeUnit;
import org.oriolewind.wire.Frame;
import org.oriolewind.wire.LinkPurpose;

/**
 * Passes the frames of one connection on. A connection that another node opened must begin with a
 * hello, soon; anything else closes it and is counted.
 */
final class PeerHandler extends SimpleChannelInboundHandler<Frame> {
    private static final long HELLO_TIMEOUT_MILLIS = 5000;

    private final PeerListener mListener;
    private final PeerMetrics mMeters;
    private final long mId;
    private final boolean mAccepted;
    private PeerConnection mConnection;
    private boolean mHelloSeen;

    PeerHandler(PeerListener listener, PeerMetrics meters, long id, boolean accepted) {
        mListener = listener;
        mMeters = meters;
        mId = id;
        mAccepted = accepted;
    }

    PeerConnection connection() {
        return mConnection;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        mConnection = new PeerConnection(mId, ctx.channel(), mMeters);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        mMeters.onOpened();
        if (mAccepted) {
            ctx.executor()
                    .schedule(
                            () -> closeIfSilent(ctx), HELLO_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void closeIfSilent(ChannelHandlerContext ctx) {
        if (!mHelloSeen && ctx.channel().isActive()) {
            mMeters.onStranger();
            ctx.close();
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Frame frame) {
        mMeters.onReceived(frame.getSerializedSize());
        if (!mAccepted || mHelloSeen) {
            mListener.onFrame(mConnection, frame);
            return;
        }
        if (!isValidHello(frame)) {
            mMeters.onStranger();
            ctx.close();
            return;
        }
        mHelloSeen = true;
        mConnection.setPurpose(frame.getHello().getPurpose());
        mListener.onHello(mConnection, frame);
    }

    private static boolean isValidHello(Frame frame) {
        if (!frame.hasHello() || frame.getHello().getSelf().getNode().isEmpty()) {
            return false;
        }
        LinkPurpose purpose = frame.getHello().getPurpose();
        return purpose != LinkPurpose.LINK_PURPOSE_UNSPECIFIED
                && purpose != LinkPurpose.UNRECOGNIZED;
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        mMeters.onClosed();
        if (!mAccepted || mHelloSeen) {
            mListener.onClosed(mConnection);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof io.netty.handler.codec.DecoderException) {
            mMeters.onDamaged();
        }
        ctx.close();
    }
}
