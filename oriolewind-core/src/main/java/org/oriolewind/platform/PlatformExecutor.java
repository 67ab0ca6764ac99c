package org.oriolewind.platform;

import java.util.function.Consumer;

/** Runs platform tasks off the control thread and delivers their results on it. */
public interface PlatformExecutor {
    /** The queues for tasks. Each has one thread, which runs its tasks in order. */
    enum TaskQueue {
        /** Short reads and writes. */
        REQUESTS,
        /** Reads and writes of leases, which must not wait for other tasks. */
        LEASES,
        /** Watches, which wait for changes. */
        WATCH
    }

    /**
     * Submits a task.
     *
     * @param <T> the type of the result
     * @param queue the queue to use
     * @param callback called once, on the control thread, with the result or the error
     */
    <T> void submit(TaskQueue queue, PlatformTask<T> task, Consumer<PlatformResult<T>> callback);
}
