package org.oriolewind.standins.backend;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import org.eclipse.jetty.server.Server;
import org.oriolewind.config.JsonFormat;
import org.oriolewind.standins.StandInServerFactory;

/**
 * Backend servers as a program: {@code BackendStandIn PORT BEHAVIOUR [PORT BEHAVIOUR ...]}, where
 * each behaviour is the JSON of {@link BackendBehaviour}.
 */
public final class BackendStandIn {
    private static final int MAX_THREADS = 24;

    private BackendStandIn() {}

    /**
     * Runs the backend servers until the process is ended.
     *
     * @param args ports and behaviours in turn
     * @throws Exception if a port can't be used
     */
    public static void main(String[] args) throws Exception {
        ScheduledExecutorService timer = newTimer();
        for (int i = 0; i + 1 < args.length; i += 2) {
            BackendBehaviour behaviour =
                    JsonFormat.mapper().readValue(args[i + 1], BackendBehaviour.class);
            start(Integer.parseInt(args[i]), new BackendHandler(behaviour, timer));
        }
    }

    /**
     * Makes the timer that backend servers share.
     *
     * @return a timer with daemon threads
     */
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
     * Starts a backend server.
     *
     * @param port the port on loopback
     * @param handler the backend server
     * @return the server, running
     * @throws Exception if the port can't be used
     */
    public static Server start(int port, BackendHandler handler) throws Exception {
        return StandInServerFactory.start(port, MAX_THREADS, handler);
    }
}
