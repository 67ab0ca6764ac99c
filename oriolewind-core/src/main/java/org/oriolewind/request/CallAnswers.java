package org.oriolewind.request;

import org.oriolewind.wire.CallAnswer;
import org.oriolewind.wire.CallOutcome;
import org.oriolewind.wire.NotRunReason;

/**
 * Creates the answers that a node gives itself, without a response of a backend server. Stateless.
 */
public final class CallAnswers {
    private CallAnswers() {}

    /**
     * Creates an answer that says that the call was not run.
     *
     * @param reason why the call was not run
     */
    public static CallAnswer notRun(NotRunReason reason) {
        return CallAnswer.newBuilder()
                .setOutcome(CallOutcome.CALL_OUTCOME_NOT_RUN)
                .setNotRunReason(reason)
                .build();
    }

    /** Creates an answer that says that the call may have run but its outcome is unknown. */
    public static CallAnswer unknown() {
        return CallAnswer.newBuilder().setOutcome(CallOutcome.CALL_OUTCOME_UNKNOWN).build();
    }
}
