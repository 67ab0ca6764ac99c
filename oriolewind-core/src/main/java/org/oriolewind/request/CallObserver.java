package org.oriolewind.request;

import org.oriolewind.wire.CallOutcome;

/** Takes figures of the request path. Implementations are safe for use by several threads. */
public interface CallObserver {
    /** Takes no figures. */
    CallObserver NONE =
            new CallObserver() {
                @Override
                public void onEnded(CallOutcome outcome, long nanos) {
                    // Nothing is counted.
                }

                @Override
                public void onRetry() {
                    // Nothing is counted.
                }
            };

    /**
     * Counts the end of a caller's call.
     *
     * @param outcome what became of it
     * @param nanos its duration in nanoseconds
     */
    void onEnded(CallOutcome outcome, long nanos);

    /** Counts a call that is sent again. */
    void onRetry();
}
