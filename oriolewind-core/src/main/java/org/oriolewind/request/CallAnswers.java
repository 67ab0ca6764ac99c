package org.oriolewind.request;

import org.oriolewind.wire.CallAnswer;
import org.oriolewind.wire.CallOutcome;
import org.oriolewind.wire.NotRunReason;

/** Answers that the system itself gives. Stateless. */
public final class CallAnswers {
    private CallAnswers() {}

    /**
     * Makes an answer that says that the call was not run.
     *
     * @param reason why
     * @return the answer
     */
    public static CallAnswer notRun(NotRunReason reason) {
        return CallAnswer.newBuilder()
                .setOutcome(CallOutcome.CALL_OUTCOME_NOT_RUN)
                .setNotRunReason(reason)
                .build();
    }

    /**
     * Makes an answer that says that the end of the call is not known.
     *
     * @return the answer
     */
    public static CallAnswer unknown() {
        return CallAnswer.newBuilder().setOutcome(CallOutcome.CALL_OUTCOME_UNKNOWN).build();
    }
}
