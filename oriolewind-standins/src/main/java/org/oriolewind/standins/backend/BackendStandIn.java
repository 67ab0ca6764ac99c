package org.oriolewind.standins.backend;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import org.eclipse.jetty.server.Server;
import org.oriolewind.config.JsonFormat;
import org.oriolewind.standins.StandInServerFactory;

/**
 * Program that runs simulated backend servers in one process: {@code BackendStandIn PORT BEHAVIOUR
 * [PORT BEHAVIOUR ...]}, where each behaviour is the JSON form of {@link BackendBehaviour}.
 */
public final class BackendStandIn {
    private static final int MAX_THREADS = 24;

    private BackendStandIn() {}

    /**
     * Starts the backend servers, which run until the process is terminated.
     *
     * @param args alternating ports and behaviours; a port without a behaviour is ignored
     * @throws Exception if a behaviour is invalid or a server can't listen on its port
     */
    public static void main(String[] args) throws Exception {
        ScheduledExecutorService timer = newTimer();
        for (int i = 0; i + 1 < args.length; i += 2) {
            BackendBehaviour behaviour =
                    JsonFormat.mapper().readValue(args[i + 1], BackendBehaviour.class);
            start(Integer.parseInt(args[i]), new BackendHandler(behaviour, timer));
        }
    }

    /** Creates a timer with two daemon threads, which several backend servers can share. */
    public static ScheduledExecutorService newTimer() {
        return new ScheduledThreadPoolExecutor(
                2,
                work -> {
                    Thread thread = new Thread(work, "backend-timer");
                    thread.setDaemon(true);
                    return thread;
                });
    }

    /**
     * Starts an HTTP server on loopback for one backend server.
     *
     * @param handler simulates the backend server
     * @return the running server, which the caller stops
     * @throws Exception if the server can't listen on the port
     */
    public static Server start(int port, BackendHandler handler) throws Exception {
        return StandInServerFactory.start(port, MAX_THREADS, handler);
    }
}
