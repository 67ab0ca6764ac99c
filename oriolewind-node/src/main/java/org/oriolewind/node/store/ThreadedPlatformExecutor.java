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

/** Runs platform work on one thread a lane and hands the replies to the control thread. */
public final class ThreadedPlatformExecutor implements PlatformExecutor, AutoCloseable {
    private static final int MAX_WAITING = 64;

    private final ObjectStore mStore;
    private final Consumer<Runnable> mControl;
    private final Map<TaskQueue, ExecutorService> mThreads = new EnumMap<>(TaskQueue.class);

    /**
     * Creates the threads.
     *
     * @param store the platform
     * @param control runs work on the control thread
     */
    public ThreadedPlatformExecutor(ObjectStore store, Consumer<Runnable> control) {
        mStore = store;
        mControl = control;
        for (TaskQueue lane : TaskQueue.values()) {
            mThreads.put(lane, newThread("platform-" + lane.name().toLowerCase()));
        }
    }

    private static ExecutorService newThread(String name) {
        ThreadPoolExecutor thread =
                new ThreadPoolExecutor(
                        1,
                        1,
                        10,
                        TimeUnit.SECONDS,
                        new ArrayBlockingQueue<>(MAX_WAITING),
                        work -> {
                            Thread t = new Thread(work, name);
                            t.setDaemon(true);
                            return t;
                        });
        thread.allowCoreThreadTimeOut(true);
        return thread;
    }

    @Override
    public <T> void submit(TaskQueue lane, PlatformTask<T> task, Consumer<PlatformResult<T>> done) {
        try {
            mThreads.get(lane)
                    .execute(
                            () -> {
                                PlatformResult<T> reply = PlatformResult.of(task, mStore);
                                mControl.accept(() -> done.accept(reply));
                            });
        } catch (RejectedExecutionException e) {
            PlatformException full =
                    new PlatformException(
                            PlatformException.Kind.RATE_LIMITED,
                            "submit",
                            "local",
                            "too much platform work waits",
                            e);
            mControl.accept(
                    () -> done.accept(new PlatformResult<>(null, java.util.Optional.of(full))));
        }
    }

    @Override
    public void close() {
        mThreads.values().forEach(ExecutorService::shutdownNow);
    }
}
