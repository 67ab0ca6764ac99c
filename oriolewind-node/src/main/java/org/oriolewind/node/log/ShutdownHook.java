package org.oriolewind.node.log;

import org.tinylog.provider.ProviderRegistry;

/**
 * Writes the log lines of the shutdown before the process ends. The logging library's own hook runs
 * beside that of the program and would drop them, so it is turned off in tinylog.properties. Safe
 * for use by several threads.
 */
public final class ShutdownHook {
    private volatile Runnable mStop = () -> {};

    private ShutdownHook() {}

    /**
     * Registers the end of the log with the process. To be called first thing.
     *
     * @return takes what is to be stopped
     */
    public static ShutdownHook install() {
        ShutdownHook log = new ShutdownHook();
        Runtime.getRuntime().addShutdownHook(new Thread(log::shutDown, "shutdown"));
        return log;
    }

    /**
     * Sets what is stopped, and may still log, when the process is told to end.
     *
     * @param stop stops the program
     */
    public void setStop(Runnable stop) {
        mStop = stop;
    }

    private void shutDown() {
        try {
            mStop.run();
        } finally {
            flush();
        }
    }

    private static void flush() {
        try {
            ProviderRegistry.getLoggingProvider().shutdown();
        } catch (InterruptedException e) {
            // Nothing is left that could log it.
            Thread.currentThread().interrupt();
        }
    }
}
