package org.oriolewind.admission;

import org.oriolewind.wire.NotRunReason;

/** A call at a gate. Exactly one of the methods is called, once. */
public interface AdmissionCall {
    /**
     * Returns when the call must have ended.
     *
     * @return monotonic time in milliseconds
     */
    long deadlineMillis();

    /** The call may be handed to the backend server; {@link Gate#leave} has to follow. */
    void onAdmitted();

    /**
     * The call is refused; it was not handed to the backend server.
     *
     * @param reason why
     */
    void onRefused(NotRunReason reason);
}
