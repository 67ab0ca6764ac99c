package org.oriolewind.node.call;

import org.oriolewind.wire.CallAnswer;
import org.oriolewind.wire.CallOutcome;
import org.oriolewind.wire.NotRunReason;

/** Answers that the system itself gives. Stateless. */
final class CallAnswers {
    private CallAnswers() {}

    static CallAnswer notRun(NotRunReason reason) {
        return CallAnswer.newBuilder()
                .setOutcome(CallOutcome.CALL_OUTCOME_NOT_RUN)
                .setNotRunReason(reason)
                .build();
    }

    static CallAnswer unknown() {
        return CallAnswer.newBuilder().setOutcome(CallOutcome.CALL_OUTCOME_UNKNOWN).build();
    }
}
