package org.oriolewind.bench;

import java.util.concurrent.Callable;
import org.oriolewind.platform.MemoryObjectStore;

/**
 * Samples the platform's call counts once a second on a thread of its own and keeps the peak rates.
 * Sampling ends when the counts can't be read; the peak so far is kept. Not thread-safe: {@link
 * #start} and {@link #stop} are called once each, by the thread that uses the peak.
 */
final class CallRateSampler {
    private final Callable<MemoryObjectStore.Counts> mCountsReader;
    private final Thread mThread = new Thread(this::run, "call-rate");
    private volatile boolean mStopped;
    private volatile Peak mPeak = new Peak(0, 0);

    CallRateSampler(Callable<MemoryObjectStore.Counts> counts) {
        mCountsReader = counts;
        mThread.setDaemon(true);
    }

    /** Highest numbers of reads and of writes in one second, which may be different seconds. */
    record Peak(long readsPerSecond, long writesPerSecond) {}

    void start() {
        mThread.start();
    }

    private void run() {
        try {
            MemoryObjectStore.Counts last = mCountsReader.call();
            while (!mStopped) {
                Thread.sleep(1000);
                MemoryObjectStore.Counts now = mCountsReader.call();
                mPeak =
                        new Peak(
                                Math.max(mPeak.readsPerSecond(), now.reads() - last.reads()),
                                Math.max(mPeak.writesPerSecond(), now.writes() - last.writes()));
                last = now;
            }
        } catch (Exception e) {
            mStopped = true;
        }
    }

    Peak stop() throws InterruptedException {
        mStopped = true;
        mThread.join();
        return mPeak;
    }
}
