package org.oriolewind.node.log;

import org.tinylog.provider.ProviderRegistry;

/**
 * Shutdown hook that stops the program and then flushes the log. The hook of tinylog would run
 * concurrently and drop the log lines of the shutdown, so it is disabled in tinylog.properties
 * ({@code autoshutdown}). Thread-safe.
 */
public final class ShutdownHook {
    private volatile Runnable mStop = () -> {};

    private ShutdownHook() {}

    /**
     * Registers the hook. To be called at the start of the program, so that the log is flushed also
     * if the start fails.
     *
     * @return the hook, which only flushes the log until {@link #setStop} is called
     */
    public static ShutdownHook install() {
        ShutdownHook hook = new ShutdownHook();
        Runtime.getRuntime().addShutdownHook(new Thread(hook::shutDown, "shutdown"));
        return hook;
    }

    /**
     * Sets the action that runs at shutdown before the log is flushed.
     *
     * @param stop stops the program; may log; runs on the thread of the hook
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
            // The log is already closed, so this can't be logged.
            Thread.currentThread().interrupt();
        }
    }
}
