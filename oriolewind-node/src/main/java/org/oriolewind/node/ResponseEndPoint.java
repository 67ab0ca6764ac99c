package org.oriolewind.node;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A connection of a Jetty client. Jetty's own end point takes a reset connection for one that the
 * server has closed, so that a response without a length looks complete. Here it is an error.
 * Thread-safe.
 */
final class ResponseEndPoint extends SocketChannelEndPoint {
    ResponseEndPoint(
            SocketChannel channel,
            ManagedSelector selector,
            SelectionKey key,
            Scheduler scheduler) {
        super(channel, selector, key, scheduler);
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        if (isInputShutdown()) {
            return -1;
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
        } else if (filled < 0) {
            shutdownInput();
        }
        return filled;
    }
}
