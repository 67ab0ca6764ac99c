package org.oriolewind.request;

import org.oriolewind.wire.CallOutcome;

/** Observes calls for metrics. Implementations are thread safe. */
public interface CallMeter {
    /** Ignores all calls. */
    CallMeter NONE =
            new CallMeter() {
                @Override
                public void onEnded(CallOutcome outcome, long nanos) {
                    // Metrics are off.
                }

                @Override
                public void onResend() {
                    // Metrics are off.
                }
            };

    /**
     * Called when a caller's call has ended.
     *
     * @param outcome the outcome that the caller is told
     * @param nanos time since the call was dispatched
     */
    void onEnded(CallOutcome outcome, long nanos);

    /** Called when a call is retried on another node. */
    void onResend();
}
