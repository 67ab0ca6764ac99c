package org.oriolewind.standins.platform;

import org.eclipse.jetty.server.Server;
import org.oriolewind.standins.StandInServerFactory;

/** The platform's stand-in as a program: {@code PlatformStandIn PORT}. */
public final class PlatformStandIn {
    private static final int MAX_THREADS = 400;

    private PlatformStandIn() {}

    /**
     * Runs the stand-in until the process is ended.
     *
     * @param args the port
     * @throws Exception if the port can't be used
     */
    public static void main(String[] args) throws Exception {
        start(Integer.parseInt(args[0]));
    }

    /**
     * Starts a stand-in.
     *
     * @param port the port on loopback
     * @return the server, running
     * @throws Exception if the port can't be used
     */
    public static Server start(int port) throws Exception {
        return StandInServerFactory.start(port, MAX_THREADS, new PlatformHandler());
    }
}
