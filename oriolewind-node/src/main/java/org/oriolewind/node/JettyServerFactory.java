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

/** Makes HTTP servers. Stateless. */
public final class JettyServerFactory {
    private JettyServerFactory() {}

    /**
     * Makes a server with one connector. It is not started.
     *
     * @param address the address to listen on
     * @param threads the thread pool
     * @param maxHeaderBytes largest header section
     * @param maxConnections most connections
     * @param idleTimeout idle or stalled time of a connection
     * @param handler takes the requests
     * @return the server
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
