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
 * Writes events as JSON lines on a thread of its own. Recording never blocks: when the queue is
 * full, events are dropped and counted. Thread-safe.
 */
public final class EventLog implements EventSink, AutoCloseable {
    private static final int QUEUE_CAPACITY = 8192;
    private static final long IDLE_PARK_NANOS = 200_000_000L;

    private final NodeClock mClock;
    private final HybridClock mHybrid;
    private final String mNode;
    private final long mIncarnation;
    private final String mDataCentre;
    private final InstalledConfig mConfig;
    private final OutputStream mOut;
    private final MpscArrayQueue<EventRecord> mQueue = new MpscArrayQueue<>(QUEUE_CAPACITY);
    private final AtomicLong mDropped = new AtomicLong();
    private final AtomicBoolean mParked = new AtomicBoolean();
    private final Thread mThread;
    private volatile boolean mClosed;

    /**
     * Creates a log and starts its thread.
     *
     * @param clock wall clock of the events
     * @param hybrid hybrid logical clock of the events
     * @param node name of this node
     * @param incarnation incarnation of this node
     * @param dataCentre data centre of this node
     * @param config holds the configuration version in force
     * @param out receives the lines; closed by {@link #close()} unless it is standard output
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
        EventRecord record =
                new EventRecord(
                        mClock.instant(),
                        mHybrid.next(),
                        mNode,
                        mIncarnation,
                        mDataCentre,
                        mConfig.current().version(),
                        event);
        if (!mQueue.offer(record)) {
            mDropped.incrementAndGet();
        } else if (mParked.compareAndSet(true, false)) {
            LockSupport.unpark(mThread);
        }
    }

    /** Returns the number of events since the start that were dropped or could not be written. */
    public long dropped() {
        return mDropped.get();
    }

    private void run() {
        ObjectWriter writer = JsonFormat.mapper().writerFor(EventRecord.class);
        while (!mClosed || !mQueue.isEmpty()) {
            EventRecord record = mQueue.relaxedPoll();
            if (record == null) {
                park();
                continue;
            }
            try {
                byte[] json = writer.writeValueAsBytes(record);
                mOut.write(json);
                mOut.write('\n');
                if (mQueue.isEmpty()) {
                    mOut.flush();
                }
            } catch (IOException e) {
                mDropped.incrementAndGet();
                Logger.warn(e, "cannot write event");
            }
        }
    }

    private void park() {
        mParked.set(true);
        if (mQueue.isEmpty() && !mClosed) {
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
            Logger.warn(e, "cannot flush events");
        }
    }
}
