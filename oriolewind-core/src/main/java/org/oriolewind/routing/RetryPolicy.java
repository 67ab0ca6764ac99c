package org.oriolewind.routing;

import org.oriolewind.wire.CallAnswer;
import org.oriolewind.wire.CallOutcome;
import org.oriolewind.wire.NotRunReason;

/**
 * Decides whether a call is sent again. A call that was not run may go elsewhere; one whose end is
 * not known may do so only if its route is idempotent. The first refusal costs no retry, since a
 * refusal costs the backend server nothing. Stateless.
 */
public final class RetryPolicy {
    /** The most times that one call is sent. */
    public static final int MAX_SENDS = 4;

    private RetryPolicy() {}

    /**
     * Decides.
     *
     * @param answer the end of the latest sending
     * @param idempotent whether the route's calls may be run more than once
     * @param sends how often the call was sent
     * @param timeLeftMillis time until the call's deadline
     * @param budget the retry budget, used only where it binds
     * @return true if the call is to be sent to another node
     */
    public static boolean sendAgain(
            CallAnswer answer,
            boolean idempotent,
            int sends,
            long timeLeftMillis,
            RetryBudget budget) {
        if (sends >= MAX_SENDS || timeLeftMillis <= 0) {
            return false;
        }
        if (answer.getOutcome() == CallOutcome.CALL_OUTCOME_NOT_RUN) {
            boolean free = sends == 1 || isFree(answer.getNotRunReason());
            return mayGoElsewhere(answer.getNotRunReason()) && (free || budget.tryRetry());
        }
        boolean unknown = answer.getOutcome() == CallOutcome.CALL_OUTCOME_UNKNOWN;
        return unknown && idempotent && budget.tryRetry();
    }

    private static boolean mayGoElsewhere(NotRunReason reason) {
        return switch (reason) {
            case NOT_RUN_REASON_EXPIRED, NOT_RUN_REASON_CANCELLED, NOT_RUN_REASON_KEY_CONFLICT ->
                    false;
            default -> true;
        };
    }

    /** Refusals that do not come from overload do not draw on the budget. */
    private static boolean isFree(NotRunReason reason) {
        return switch (reason) {
            case NOT_RUN_REASON_LEAVING,
                    NOT_RUN_REASON_UNREACHABLE,
                    NOT_RUN_REASON_WRONG_TARGET,
                    NOT_RUN_REASON_DATA_CENTRE_OUT ->
                    true;
            default -> false;
        };
    }
}
