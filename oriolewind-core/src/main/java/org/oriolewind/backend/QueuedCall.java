package org.oriolewind.backend;

import org.oriolewind.wire.NotRunReason;

/** A call at the gate. Exactly one of the two callbacks is called, once. */
public interface QueuedCall {
    /**
     * Returns the call's route, by which service times are told apart.
     *
     * @return the route's name
     */
    String route();

    /**
     * Returns when the call must have ended.
     *
     * @return monotonic time in milliseconds
     */
    long deadlineMillis();

    /**
     * Returns until when the answer is worth most.
     *
     * @return monotonic time in milliseconds
     */
    long targetLatencyMillis();

    /**
     * Returns the rank of the call's route.
     *
     * @return the rank, 0 is the highest
     */
    int priority();

    /** The call may be handed to the backend server; {@link BackendGate#leave} has to follow. */
    void onAdmitted();

    /**
     * The call is refused; it was not handed over.
     *
     * @param reason why
     * @param retryAfterMillis time after which there may be room
     */
    void onRefused(NotRunReason reason, long retryAfterMillis);
}
