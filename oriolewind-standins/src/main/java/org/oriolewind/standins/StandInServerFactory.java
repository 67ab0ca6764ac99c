package org.oriolewind.standins;

import java.net.InetSocketAddress;
import java.time.Duration;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.oriolewind.node.JettyServerFactory;

/** Starts the HTTP servers of the stand-ins. Stateless. */
public final class StandInServerFactory {
    private static final int MAX_HEADER_BYTES = 65_536;
    private static final int MAX_CONNECTIONS = 10_000;
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(120);

    private StandInServerFactory() {}

    /**
     * Starts a server on 127.0.0.1.
     *
     * @param maxThreads largest number of threads, those that accept and read connections included
     * @param handler handles all requests, on threads of the server
     * @return the running server, which the caller stops
     * @throws Exception if the server can't listen on the port
     */
    public static Server start(int port, int maxThreads, Handler handler) throws Exception {
        Server server =
                JettyServerFactory.newServer(
                        new InetSocketAddress("127.0.0.1", port),
                        new QueuedThreadPool(maxThreads),
                        MAX_HEADER_BYTES,
                        MAX_CONNECTIONS,
                        IDLE_TIMEOUT,
                        handler);
        server.start();
        return server;
    }
}
