package org.oriolewind.platform;

import java.util.function.Consumer;

/** Runs work against the platform off the control thread and brings the replies back to it. */
public interface PlatformExecutor {
    /** The threads on which work runs, one each, in order. */
    enum TaskQueue {
        /** Reads and writes that end soon. */
        REQUESTS,
        /** Lease writes, which must not wait behind other work. */
        LEASES,
        /** The waiting watch. */
        WATCH
    }

    /**
     * Submits work.
     *
     * @param <T> the type of the result
     * @param lane the thread to run on
     * @param task the work
     * @param done called on the control thread with the reply, once
     */
    <T> void submit(TaskQueue lane, PlatformTask<T> task, Consumer<PlatformResult<T>> done);
}
