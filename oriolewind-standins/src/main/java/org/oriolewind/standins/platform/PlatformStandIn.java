package org.oriolewind.standins.platform;

import org.eclipse.jetty.server.Server;
import org.oriolewind.standins.StandInServerFactory;

/** Program that serves the platform's object API from memory: {@code PlatformStandIn PORT}. */
public final class PlatformStandIn {
    /** Each waiting watch occupies a thread. */
    private static final int MAX_THREADS = 400;

    private PlatformStandIn() {}

    /**
     * Starts the server, which runs until the process is terminated.
     *
     * @param args the port on loopback
     * @throws Exception if the port is invalid or the server can't listen on it
     */
    public static void main(String[] args) throws Exception {
        start(Integer.parseInt(args[0]));
    }

    /**
     * Starts a server on loopback with an empty object store.
     *
     * @return the running server, which the caller stops
     * @throws Exception if the server can't listen on the port
     */
    public static Server start(int port) throws Exception {
        return StandInServerFactory.start(port, MAX_THREADS, new PlatformHandler());
    }
}
