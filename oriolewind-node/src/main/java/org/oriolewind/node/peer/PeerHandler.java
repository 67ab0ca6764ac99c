package org.oriolewind.node.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.concurrent.TimeUnit;
import org.oriolewind.wire.Frame;
import org.oriolewind.wire.LinkPurpose;

/**
 * Channel handler that passes the frames of one connection to a listener. A connection that another
 * node opened must start with a valid hello frame within 5 s; otherwise it is closed and counted as
 * rejected. Confined to the event loop of the connection.
 */
final class PeerHandler extends SimpleChannelInboundHandler<Frame> {
    private static final long HELLO_TIMEOUT_MILLIS = 5000;

    private final PeerListener mListener;
    private final PeerMetrics mMetrics;
    private final long mId;
    private final boolean mAccepted;
    private PeerConnection mConnection;
    private boolean mHelloReceived;

    PeerHandler(PeerListener listener, PeerMetrics metrics, long id, boolean accepted) {
        mListener = listener;
        mMetrics = metrics;
        mId = id;
        mAccepted = accepted;
    }

    PeerConnection connection() {
        return mConnection;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        mConnection = new PeerConnection(mId, ctx.channel(), mMetrics);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        mMetrics.onOpened();
        if (mAccepted) {
            ctx.executor()
                    .schedule(
                            () -> closeWithoutHello(ctx),
                            HELLO_TIMEOUT_MILLIS,
                            TimeUnit.MILLISECONDS);
        }
    }

    private void closeWithoutHello(ChannelHandlerContext ctx) {
        if (!mHelloReceived && ctx.channel().isActive()) {
            mMetrics.onRejected();
            ctx.close();
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Frame frame) {
        mMetrics.onReceived(frame.getSerializedSize());
        if (!mAccepted || mHelloReceived) {
            mListener.onFrame(mConnection, frame);
            return;
        }
        if (!isValidHello(frame)) {
            mMetrics.onRejected();
            ctx.close();
            return;
        }
        mHelloReceived = true;
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
        mMetrics.onClosed();
        if (!mAccepted || mHelloReceived) {
            mListener.onClosed(mConnection);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof io.netty.handler.codec.DecoderException) {
            mMetrics.onMalformedFrame();
        }
        ctx.close();
    }
}
