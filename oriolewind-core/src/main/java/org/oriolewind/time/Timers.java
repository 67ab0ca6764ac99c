package org.oriolewind.time;

import org.oriolewind.request.Cancellable;

/** Runs things later on the thread that owns the caller's state. */
@FunctionalInterface
public interface Timers {
    /**
     * Runs an action once after a delay.
     *
     * @param delayMillis the delay
     * @param action the action
     * @return prevents the action if it has not run
     */
    Cancellable schedule(long delayMillis, Runnable action);
}
