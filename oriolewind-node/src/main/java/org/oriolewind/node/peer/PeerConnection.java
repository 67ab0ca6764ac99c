package org.oriolewind.node.peer;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import org.oriolewind.wire.Frame;
import org.oriolewind.wire.LinkPurpose;

/** One open connection to another node. Thread-safe. */
public final class PeerConnection {
    private final long mId;
    private final Channel mChannel;
    private final PeerMetrics mMetrics;
    private volatile LinkPurpose mPurpose = LinkPurpose.LINK_PURPOSE_UNSPECIFIED;

    PeerConnection(long id, Channel channel, PeerMetrics metrics) {
        mId = id;
        mChannel = channel;
        mMetrics = metrics;
    }

    /** Returns the ID of the connection, which is unique within the process. */
    public long id() {
        return mId;
    }

    /**
     * Returns the purpose of the connection.
     *
     * @return the purpose stated in the hello frame of the other node; unspecified before that
     *     frame and on connections that this node opened
     */
    public LinkPurpose purpose() {
        return mPurpose;
    }

    void setPurpose(LinkPurpose purpose) {
        mPurpose = purpose;
    }

    /**
     * Returns whether the other node reads fast enough.
     *
     * @return false if the send buffer is full or the connection is closed
     */
    public boolean isWritable() {
        return mChannel.isWritable();
    }

    /**
     * Sends a frame. Frames leave in the order of the calls, whichever threads make them. A call on
     * the event loop is queued as well, because a direct write would overtake frames that other
     * threads have queued. On a closed connection the frame is dropped.
     */
    public void send(Frame frame) {
        mMetrics.onSent(frame);
        mChannel.eventLoop().execute(() -> mChannel.writeAndFlush(frame, mChannel.voidPromise()));
    }

    /** Closes the connection after all frames that were sent before. */
    public void close() {
        mChannel.eventLoop()
                .execute(
                        () ->
                                mChannel.writeAndFlush(Unpooled.EMPTY_BUFFER)
                                        .addListener(ChannelFutureListener.CLOSE));
    }

    /** Closes the connection at once. Queued frames are lost. */
    public void abort() {
        mChannel.close();
    }
}
