package org.oriolewind.node;

import java.net.InetSocketAddress;
import java.time.Duration;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.NetworkConnectionLimit;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Creates Jetty servers with a connection limit. Stateless. */
public final class JettyServerFactory {
    private JettyServerFactory() {}

    /**
     * Creates a server with one connector. The caller starts and stops it.
     *
     * @param address the address to listen on
     * @param threads the thread pool, which may be shared by several servers
     * @param maxHeaderBytes largest header section of a request
     * @param maxConnections number of connections at which no more are accepted
     * @param idleTimeout idle or stalled time after which a connection is closed
     * @param handler handles all requests, on threads of the pool
     */
    public static Server newServer(
            InetSocketAddress address,
            QueuedThreadPool threads,
            int maxHeaderBytes,
            int maxConnections,
            Duration idleTimeout,
            Handler handler) {
        Server server = new Server(threads);
        HttpConfiguration http = new HttpConfiguration();
        http.setRequestHeaderSize(maxHeaderBytes);
        http.setSendServerVersion(false);
        http.setSendDateHeader(false);
        ServerConnector connector =
                new ServerConnector(server, 1, 1, new HttpConnectionFactory(http));
        connector.setHost(address.getAddress().getHostAddress());
        connector.setPort(address.getPort());
        connector.setIdleTimeout(idleTimeout.toMillis());
        connector.setReuseAddress(true);
        server.addConnector(connector);
        server.addBean(new NetworkConnectionLimit(maxConnections, connector));
        server.setHandler(handler);
        server.setStopAtShutdown(false);
        return server;
    }
}
