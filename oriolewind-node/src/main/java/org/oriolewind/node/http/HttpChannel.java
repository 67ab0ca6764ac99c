package org.oriolewind.node.http;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;

/** A connection to a server whose failures can be asked for. Confined to its event loop. */
final class HttpChannel extends NioSocketChannel {
    /** Returns whether the connection was reset or has failed, whatever the latest read said. */
    boolean hasFailed() throws IOException {
        return ConnectionState.hasFailed(javaChannel());
    }
}
