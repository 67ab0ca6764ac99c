package org.oriolewind.node.log;

import org.tinylog.Logger;

/** A program that takes a while to end, and logs that it has. */
public final class LoggingProgram {
    private static final long STOP_MILLIS = 300;

    private LoggingProgram() {}

    /**
     * Runs until it is told to end.
     *
     * @param args none
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
