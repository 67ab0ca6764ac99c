package org.oriolewind.routing;

import org.oriolewind.wire.CallAnswer;
import org.oriolewind.wire.CallOutcome;
import org.oriolewind.wire.NotRunReason;

/**
 * Decides whether a call is retried. A call that was not run may be retried on another node; one
 * with an unknown outcome only if its route is idempotent. The retry after the first refusal is not
 * charged to the budget, since a refusal costs the backend server nothing. Stateless.
 */
public final class RetryPolicy {
    /** Upper bound of attempts for one call. */
    public static final int MAX_ATTEMPTS = 4;

    private RetryPolicy() {}

    /**
     * Returns whether a call is retried on another node, and charges the retry to the budget if it
     * has to be.
     *
     * @param answer the answer of the last attempt
     * @param idempotent whether calls of the route may run more than once
     * @param attempts number of attempts so far, at least 1
     * @param timeLeftMillis time until the call's deadline
     * @param budget the retry budget
     */
    public static boolean shouldRetry(
            CallAnswer answer,
            boolean idempotent,
            int attempts,
            long timeLeftMillis,
            RetryBudget budget) {
        if (attempts >= MAX_ATTEMPTS || timeLeftMillis <= 0) {
            return false;
        }
        if (answer.getOutcome() == CallOutcome.CALL_OUTCOME_NOT_RUN) {
            boolean exempt = attempts == 1 || isExemptFromBudget(answer.getNotRunReason());
            return isRetryable(answer.getNotRunReason()) && (exempt || budget.tryRetry());
        }
        boolean unknown = answer.getOutcome() == CallOutcome.CALL_OUTCOME_UNKNOWN;
        return unknown && idempotent && budget.tryRetry();
    }

    private static boolean isRetryable(NotRunReason reason) {
        return switch (reason) {
            case NOT_RUN_REASON_EXPIRED, NOT_RUN_REASON_CANCELLED, NOT_RUN_REASON_KEY_CONFLICT ->
                    false;
            default -> true;
        };
    }

    /** Refusals that are not caused by overload are not charged to the budget. */
    private static boolean isExemptFromBudget(NotRunReason reason) {
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
