package org.oriolewind.node;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import org.jctools.queues.MpscArrayQueue;
import org.oriolewind.time.NodeClock;
import org.tinylog.Logger;

/**
 * The thread that owns the state of the control plane. Other threads submit tasks through a bounded
 * queue; every 100 ms the thread runs the tick. Thread-safe.
 */
final class ControlThread implements AutoCloseable {
    private static final int QUEUE_CAPACITY = 16_384;
    private static final long TICK_MILLIS = 100;

    private final NodeClock mClock;
    private final Runnable mTick;
    private final MpscArrayQueue<Runnable> mTasks = new MpscArrayQueue<>(QUEUE_CAPACITY);
    private final AtomicBoolean mParked = new AtomicBoolean();
    private final Thread mThread;
    private volatile boolean mClosed;

    ControlThread(NodeClock clock, Runnable tick, String name) {
        mClock = clock;
        mTick = tick;
        mThread = new Thread(this::run, name);
        mThread.setDaemon(true);
    }

    void start() {
        mThread.start();
    }

    /**
     * Submits a task that must not be lost. Spins while the queue is full; drops the task after
     * {@link #close}.
     */
    void execute(Runnable task) {
        while (!mClosed && !offer(task)) {
            Thread.onSpinWait();
        }
    }

    /** Submits a task; returns false if the queue is full. */
    boolean offer(Runnable task) {
        if (!mTasks.offer(task)) {
            return false;
        }
        if (mParked.compareAndSet(true, false)) {
            LockSupport.unpark(mThread);
        }
        return true;
    }

    private void run() {
        long nextTickMillis = mClock.monotonicMillis();
        while (!mClosed) {
            Runnable task = mTasks.relaxedPoll();
            if (task != null) {
                runSafely(task);
            }
            long now = mClock.monotonicMillis();
            if (now >= nextTickMillis) {
                nextTickMillis = now + TICK_MILLIS;
                runSafely(mTick);
            } else if (task == null) {
                park(nextTickMillis - now);
            }
        }
    }

    private void park(long millis) {
        mParked.set(true);
        if (mTasks.isEmpty()) {
            LockSupport.parkNanos(millis * 1_000_000L);
        }
        mParked.set(false);
    }

    /** An exception in one task must not end the control thread. */
    private static void runSafely(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            Logger.error(e, "task on the control thread failed");
        }
    }

    @Override
    public void close() {
        mClosed = true;
        LockSupport.unpark(mThread);
    }
}
