package org.oriolewind.request;

import org.oriolewind.wire.CallOutcome;

/** Observes calls for metrics. Implementations are thread-safe. */
public interface CallObserver {
    /** Ignores all calls. */
    CallObserver NONE =
            new CallObserver() {
                @Override
                public void onEnded(CallOutcome outcome, long nanos) {
                    // Metrics are off.
                }

                @Override
                public void onRetry() {
                    // Metrics are off.
                }
            };

    /**
     * Called when a caller's call has ended.
     *
     * @param outcome the outcome reported to the caller
     * @param nanos time since the call was dispatched
     */
    void onEnded(CallOutcome outcome, long nanos);

    /** Called when a call is retried on another node. */
    void onRetry();
}
