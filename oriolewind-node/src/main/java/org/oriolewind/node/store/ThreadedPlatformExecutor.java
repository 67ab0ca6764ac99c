package org.oriolewind.node.store;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.oriolewind.platform.ObjectStore;
import org.oriolewind.platform.PlatformException;
import org.oriolewind.platform.PlatformExecutor;
import org.oriolewind.platform.PlatformResult;
import org.oriolewind.platform.PlatformTask;

/**
 * Runs calls to the platform on one thread per queue and delivers the results on the control
 * thread. At most 64 tasks wait in each queue; further ones fail as rate limited. Thread-safe.
 */
public final class ThreadedPlatformExecutor implements PlatformExecutor, AutoCloseable {
    private static final int MAX_QUEUED = 64;

    private final ObjectStore mStore;
    private final Consumer<Runnable> mControl;
    private final Map<TaskQueue, ExecutorService> mExecutors = new EnumMap<>(TaskQueue.class);

    /**
     * Creates an executor whose threads start when needed and end after 10 s without tasks.
     *
     * @param store the platform's store, called on the threads of the queues
     * @param control submits a task to the control thread
     */
    public ThreadedPlatformExecutor(ObjectStore store, Consumer<Runnable> control) {
        mStore = store;
        mControl = control;
        for (TaskQueue queue : TaskQueue.values()) {
            mExecutors.put(queue, newExecutor("platform-" + queue.name().toLowerCase()));
        }
    }

    private static ExecutorService newExecutor(String name) {
        ThreadPoolExecutor executor =
                new ThreadPoolExecutor(
                        1,
                        1,
                        10,
                        TimeUnit.SECONDS,
                        new ArrayBlockingQueue<>(MAX_QUEUED),
                        task -> {
                            Thread thread = new Thread(task, name);
                            thread.setDaemon(true);
                            return thread;
                        });
        executor.allowCoreThreadTimeOut(true);
        return executor;
    }

    @Override
    public <T> void submit(
            TaskQueue queue, PlatformTask<T> task, Consumer<PlatformResult<T>> done) {
        try {
            mExecutors
                    .get(queue)
                    .execute(
                            () -> {
                                PlatformResult<T> result = PlatformResult.of(task, mStore);
                                mControl.accept(() -> done.accept(result));
                            });
        } catch (RejectedExecutionException e) {
            PlatformException full =
                    new PlatformException(
                            PlatformException.Kind.RATE_LIMITED,
                            "submit",
                            "local",
                            "task queue is full",
                            e);
            mControl.accept(
                    () -> done.accept(new PlatformResult<>(null, java.util.Optional.of(full))));
        }
    }

    @Override
    public void close() {
        mExecutors.values().forEach(ExecutorService::shutdownNow);
    }
}
