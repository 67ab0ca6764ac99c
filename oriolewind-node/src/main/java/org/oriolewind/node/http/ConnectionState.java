package org.oriolewind.node.http;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;

/** What the operating system knows of a connection beyond the result of a read. Stateless. */
public final class ConnectionState {
    private ConnectionState() {}

    /**
     * Returns whether a connection was reset or has failed. A read doesn't show it once the server
     * had ended its output, or once a write has returned the connection's only error: it then
     * returns the same as after an end in order.
     *
     * @param channel a connected channel in non-blocking mode whose output isn't shut down
     */
    public static boolean hasFailed(SocketChannel channel) throws IOException {
        try (Selector selector = Selector.open()) {
            // A connected channel is ready for a connect only if it has an error or is hung up.
            channel.register(selector, SelectionKey.OP_CONNECT);
            return selector.selectNow() > 0;
        }
    }
}
