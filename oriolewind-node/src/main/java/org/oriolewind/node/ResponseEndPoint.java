package org.oriolewind.node;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;
import org.oriolewind.node.http.ConnectionState;

/**
 * A connection of a Jetty client. Jetty's own end point takes a reset connection for one that the
 * server has closed, so that a response without a length looks complete; and it reads bytes that
 * form no response without end. Both are errors here. Thread-safe.
 */
final class ResponseEndPoint extends SocketChannelEndPoint {
    private final long mMaxResponseBytes;
    private final AtomicLong mReceivedBytes = new AtomicLong();
    private volatile boolean mEndedByServer;

    ResponseEndPoint(
            SocketChannel channel,
            ManagedSelector selector,
            SelectionKey key,
            Scheduler scheduler,
            long maxResponseBytes) {
        super(channel, selector, key, scheduler);
        mMaxResponseBytes = maxResponseBytes;
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        if (mEndedByServer) {
            return -1;
        }
        if (isInputShutdown()) {
            throw new EofException("closed on this side");
        }
        int position = BufferUtil.flipToFill(buffer);
        int filled;
        try {
            filled = getChannel().read(buffer);
        } finally {
            BufferUtil.flipToFlush(buffer, position);
        }
        if (filled > 0) {
            notIdle();
            if (mReceivedBytes.addAndGet(filled) > mMaxResponseBytes) {
                throw new IOException("response of more than " + mMaxResponseBytes + " bytes");
            }
        } else if (filled < 0) {
            if (!isOutputShutdown() && ConnectionState.hasFailed(getChannel())) {
                throw new EofException("reset by the server");
            }
            mEndedByServer = true;
            shutdownInput();
        }
        return filled;
    }

    @Override
    public boolean flush(ByteBuffer... buffers) throws IOException {
        mReceivedBytes.set(0);
        return super.flush(buffers);
    }
}
