package org.oriolewind.admission;

import org.oriolewind.wire.NotRunReason;

/**
 * A call that asks an admission gate for permission to run. The gate calls either {@link
 * #onAdmitted} or {@link #onRefused}, exactly once and outside its lock, on any thread that uses
 * the gate.
 */
public interface AdmissionCall {
    /**
     * Returns the time by which the call must have ended.
     *
     * @return monotonic time in milliseconds
     */
    long deadlineMillis();

    /**
     * The call may be forwarded to the backend server. Its end must be reported with {@link
     * Gate#leave} or {@link Gate#leaveUnsampled}.
     */
    void onAdmitted();

    /**
     * The call is refused and has not been forwarded to the backend server.
     *
     * @param reason why the gate refused it
     */
    void onRefused(NotRunReason reason);
}
