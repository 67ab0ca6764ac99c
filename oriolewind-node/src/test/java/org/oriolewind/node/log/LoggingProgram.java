package org.oriolewind.node.log;

import org.tinylog.Logger;

/** A program whose shutdown takes 300 ms and logs a line at its end. */
public final class LoggingProgram {
    private static final long STOP_MILLIS = 300;

    private LoggingProgram() {}

    /**
     * Runs until the process gets a stop signal.
     *
     * @param args not used
     * @throws InterruptedException never
     */
    public static void main(String[] args) throws InterruptedException {
        ShutdownHook.install().setStop(LoggingProgram::stop);
        Logger.info("started");
        Thread.sleep(Long.MAX_VALUE);
    }

    private static void stop() {
        try {
            Thread.sleep(STOP_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Logger.info("stopped");
    }
}
