package org.oriolewind.node;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import org.jctools.queues.MpscArrayQueue;
import org.oriolewind.time.NodeClock;
import org.tinylog.Logger;

/**
 * The thread that owns the state of the control side. Work from other threads comes through a
 * bounded ring; between work the thread calls the tick. Safe for use by several threads.
 */
final class ControlThread implements AutoCloseable {
    private static final int RING_SIZE = 16_384;
    private static final long TICK_MILLIS = 100;

    private final NodeClock mClock;
    private final Runnable mTick;
    private final MpscArrayQueue<Runnable> mRing = new MpscArrayQueue<>(RING_SIZE);
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

    /** Runs work that must not be lost. Waits while the ring is full. */
    void execute(Runnable work) {
        while (!mClosed && !offer(work)) {
            Thread.onSpinWait();
        }
    }

    /** Runs work unless the ring is full. */
    boolean offer(Runnable work) {
        if (!mRing.offer(work)) {
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
            Runnable work = mRing.relaxedPoll();
            if (work != null) {
                runSafely(work);
            }
            long now = mClock.monotonicMillis();
            if (now >= nextTickMillis) {
                nextTickMillis = now + TICK_MILLIS;
                runSafely(mTick);
            } else if (work == null) {
                park(nextTickMillis - now);
            }
        }
    }

    private void park(long millis) {
        mParked.set(true);
        if (mRing.isEmpty()) {
            LockSupport.parkNanos(millis * 1_000_000L);
        }
        mParked.set(false);
    }

    /** A fault in one piece of work must not end the control side of the node. */
    private static void runSafely(Runnable work) {
        try {
            work.run();
        } catch (RuntimeException e) {
            Logger.error(e, "control work failed");
        }
    }

    @Override
    public void close() {
        mClosed = true;
        LockSupport.unpark(mThread);
    }
}
