package org.oriolewind.request;

import java.util.function.Supplier;
import net.openhft.hashing.LongHashFunction;
import org.oriolewind.event.Event;
import org.oriolewind.event.EventSink;

/**
 * Records the events of a share of all calls. The choice depends on the call's id alone, so that
 * all nodes record the same calls. Safe for use by several threads.
 */
public final class CallEventSampler {
    private final EventSink mSink;
    private final long mThreshold;

    /**
     * Creates the events.
     *
     * @param sink takes the events
     * @param share the share of calls to record, between 0 and 1
     */
    public CallEventSampler(EventSink sink, double share) {
        mSink = sink;
        mThreshold = share >= 1 ? Long.MAX_VALUE : (long) (Long.MAX_VALUE * share);
    }

    void record(String callId, Supplier<Event> event) {
        if (mThreshold == 0) {
            return;
        }
        boolean chosen =
                mThreshold == Long.MAX_VALUE
                        || (LongHashFunction.xx3().hashChars(callId) >>> 1) < mThreshold;
        if (chosen) {
            mSink.record(event.get());
        }
    }
}
