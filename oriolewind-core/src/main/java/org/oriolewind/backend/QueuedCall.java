package org.oriolewind.backend;

import org.oriolewind.wire.NotRunReason;

/**
 * A call that asks the {@link BackendGate} for admission. The gate calls either {@link #onAdmitted}
 * or {@link #onRefused}, exactly once, on the thread that uses the gate.
 */
public interface QueuedCall {
    /** Returns the name of the call's route, by which service times are averaged. */
    String route();

    /**
     * Returns the time by which the call must have ended.
     *
     * @return monotonic time in milliseconds
     */
    long deadlineMillis();

    /**
     * Returns the time by which the call should be answered to meet its route's latency target.
     *
     * @return monotonic time in milliseconds
     */
    long targetMillis();

    /**
     * Returns the priority of the call's route.
     *
     * @return 0 is the highest
     */
    int priority();

    /**
     * The call may be forwarded to the backend server. Its end must be reported with {@link
     * BackendGate#leave}.
     */
    void onAdmitted();

    /**
     * The call is refused and has not been forwarded.
     *
     * @param reason why the gate refused it
     * @param retryAfterMillis time after which there may be capacity for it; 0 if not known
     */
    void onRefused(NotRunReason reason, long retryAfterMillis);
}
