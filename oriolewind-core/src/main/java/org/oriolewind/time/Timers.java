package org.oriolewind.time;

import org.oriolewind.request.Cancellable;

/** Schedules actions on the thread that owns the caller's state, so that they need no locks. */
@FunctionalInterface
public interface Timers {
    /**
     * Schedules an action to run once after a delay.
     *
     * @param delayMillis least time until the action runs
     * @param action runs on the thread that owns the caller's state
     * @return cancels the action if it has not run yet
     */
    Cancellable schedule(long delayMillis, Runnable action);
}
