package org.oriolewind.node.call;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.EnumMap;
import java.util.Map;
import org.oriolewind.request.CallObserver;
import org.oriolewind.wire.CallOutcome;

/** Metrics of the request path. Thread-safe. */
final class CallMetrics implements CallObserver {
    private final Map<CallOutcome, Meter> mOutcomes = new EnumMap<>(CallOutcome.class);
    private final Meter mRetries;
    private final Timer mDuration;

    CallMetrics(MetricRegistry registry) {
        for (CallOutcome outcome : CallOutcome.values()) {
            if (outcome != CallOutcome.UNRECOGNIZED) {
                String name = outcome.name().substring("CALL_OUTCOME_".length()).toLowerCase();
                mOutcomes.put(outcome, registry.meter("calls." + name));
            }
        }
        mRetries = registry.meter("calls.resends");
        mDuration = registry.timer("calls.duration");
    }

    @Override
    public void onEnded(CallOutcome outcome, long nanos) {
        mOutcomes.get(outcome).mark();
        mDuration.update(nanos, java.util.concurrent.TimeUnit.NANOSECONDS);
    }

    @Override
    public void onRetry() {
        mRetries.mark();
    }
}
