package org.oriolewind.node.peer;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import org.oriolewind.wire.Frame;
import org.oriolewind.wire.LinkPurpose;

/** One connection to another node. Safe for use by several threads. */
public final class PeerConnection {
    private final long mId;
    private final Channel mChannel;
    private final PeerMetrics mMeters;
    private volatile LinkPurpose mPurpose = LinkPurpose.LINK_PURPOSE_UNSPECIFIED;

    PeerConnection(long id, Channel channel, PeerMetrics meters) {
        mId = id;
        mChannel = channel;
        mMeters = meters;
    }

    /**
     * Returns the connection's number, unique within the process.
     *
     * @return the number
     */
    public long id() {
        return mId;
    }

    /**
     * Returns what the connection is for.
     *
     * @return the purpose of the hello, unspecified on connections opened by this node
     */
    public LinkPurpose purpose() {
        return mPurpose;
    }

    void setPurpose(LinkPurpose purpose) {
        mPurpose = purpose;
    }

    /**
     * Returns whether the other side takes what is sent fast enough.
     *
     * @return false if much waits to be sent, or the connection is closed
     */
    public boolean isWritable() {
        return mChannel.isWritable();
    }

    /**
     * Sends a frame. Frames leave in the order of the calls, whichever threads make them: a write
     * by the connection's own thread must not overtake one that waits for it.
     *
     * @param frame the frame
     */
    public void send(Frame frame) {
        mMeters.onSent(frame);
        mChannel.eventLoop().execute(() -> mChannel.writeAndFlush(frame, mChannel.voidPromise()));
    }

    /** Closes the connection after what was sent before. */
    public void close() {
        mChannel.eventLoop()
                .execute(
                        () ->
                                mChannel.writeAndFlush(Unpooled.EMPTY_BUFFER)
                                        .addListener(ChannelFutureListener.CLOSE));
    }

    /** Closes the connection at once. */
    public void abort() {
        mChannel.close();
    }
}
