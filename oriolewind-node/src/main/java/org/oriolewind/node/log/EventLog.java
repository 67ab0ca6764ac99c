package org.oriolewind.node.log;

import com.fasterxml.jackson.databind.ObjectWriter;
import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.jctools.queues.MpscArrayQueue;
import org.oriolewind.config.InstalledConfig;
import org.oriolewind.config.JsonFormat;
import org.oriolewind.event.Event;
import org.oriolewind.event.EventSink;
import org.oriolewind.time.HybridClock;
import org.oriolewind.time.NodeClock;
import org.tinylog.Logger;

/**
 * Writes events as JSON lines on a thread of its own. When the ring is full events are dropped and
 * counted; the caller never waits. Safe for use by several threads.
 */
public final class EventLog implements EventSink, AutoCloseable {
    private static final int RING_SIZE = 8192;
    private static final long IDLE_PARK_NANOS = 200_000_000L;

    private final NodeClock mClock;
    private final HybridClock mHybrid;
    private final String mNode;
    private final long mIncarnation;
    private final String mDataCentre;
    private final InstalledConfig mConfig;
    private final OutputStream mOut;
    private final MpscArrayQueue<EventRecord> mRing = new MpscArrayQueue<>(RING_SIZE);
    private final AtomicLong mDropped = new AtomicLong();
    private final AtomicBoolean mParked = new AtomicBoolean();
    private final Thread mThread;
    private volatile boolean mClosed;

    /**
     * Creates a log and starts its thread.
     *
     * @param clock the clock
     * @param hybrid the clock for events
     * @param node the process's name
     * @param incarnation the process's incarnation
     * @param dataCentre the data centre
     * @param config the configuration in force
     * @param out takes the lines; closed by {@link #close()} unless it is standard output
     */
    public EventLog(
            NodeClock clock,
            HybridClock hybrid,
            String node,
            long incarnation,
            String dataCentre,
            InstalledConfig config,
            OutputStream out) {
        mClock = clock;
        mHybrid = hybrid;
        mNode = node;
        mIncarnation = incarnation;
        mDataCentre = dataCentre;
        mConfig = config;
        mOut = out;
        mThread = new Thread(this::run, "events");
        mThread.setDaemon(true);
        mThread.start();
    }

    @Override
    public void record(Event event) {
        EventRecord line =
                new EventRecord(
                        mClock.instant(),
                        mHybrid.next(),
                        mNode,
                        mIncarnation,
                        mDataCentre,
                        mConfig.current().version(),
                        event);
        if (!mRing.offer(line)) {
            mDropped.incrementAndGet();
        } else if (mParked.compareAndSet(true, false)) {
            LockSupport.unpark(mThread);
        }
    }

    /**
     * Returns the events that were dropped.
     *
     * @return the number since the start
     */
    public long dropped() {
        return mDropped.get();
    }

    private void run() {
        ObjectWriter writer = JsonFormat.mapper().writerFor(EventRecord.class);
        while (!mClosed || !mRing.isEmpty()) {
            EventRecord line = mRing.relaxedPoll();
            if (line == null) {
                park();
                continue;
            }
            try {
                byte[] json = writer.writeValueAsBytes(line);
                mOut.write(json);
                mOut.write('\n');
                if (mRing.isEmpty()) {
                    mOut.flush();
                }
            } catch (IOException e) {
                mDropped.incrementAndGet();
                Logger.warn(e, "event can't be written");
            }
        }
    }

    private void park() {
        mParked.set(true);
        if (mRing.isEmpty() && !mClosed) {
            LockSupport.parkNanos(IDLE_PARK_NANOS);
        }
        mParked.set(false);
    }

    @Override
    public void close() {
        mClosed = true;
        LockSupport.unpark(mThread);
        try {
            mThread.join(2000);
            mOut.flush();
            if (mOut != System.out) {
                mOut.close();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            Logger.warn(e, "events can't be flushed");
        }
    }
}
