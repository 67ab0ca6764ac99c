package org.oriolewind.request;

import java.util.function.Supplier;
import net.openhft.hashing.LongHashFunction;
import org.oriolewind.event.Event;
import org.oriolewind.event.EventSink;

/**
 * Records events for a sample of all calls. Whether a call is sampled depends on its call ID alone,
 * so that all nodes sample the same calls. Thread-safe.
 */
public final class CallEventSampler {
    private final EventSink mSink;
    private final long mThreshold;

    /**
     * Creates a sampler.
     *
     * @param sink records the events of sampled calls
     * @param share share of calls to sample, from 0 (none) to 1 (all)
     */
    public CallEventSampler(EventSink sink, double share) {
        mSink = sink;
        mThreshold = share >= 1 ? Long.MAX_VALUE : (long) (Long.MAX_VALUE * share);
    }

    void record(String callId, Supplier<Event> event) {
        if (mThreshold == 0) {
            return;
        }
        boolean sampled =
                mThreshold == Long.MAX_VALUE
                        || (LongHashFunction.xx3().hashChars(callId) >>> 1) < mThreshold;
        if (sampled) {
            mSink.record(event.get());
        }
    }
}
