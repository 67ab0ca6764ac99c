package org.oriolewind.request;

import java.util.function.Consumer;
import org.oriolewind.wire.CallAnswer;
import org.oriolewind.wire.CallRequest;

/**
 * Sends operations on idempotency keys to the holder of the rollout lease, which grants claims.
 * Implementations never block.
 */
@FunctionalInterface
public interface KeyClaimSender {
    /** Answers every operation as not run, so that no key is ever claimed. */
    KeyClaimSender NONE =
            (request, done) ->
                    done.accept(
                            CallAnswers.notRun(
                                    org.oriolewind.wire.NotRunReason.NOT_RUN_REASON_KEY_UNSETTLED));

    /**
     * Sends a key operation.
     *
     * @param request a call request that carries a key operation
     * @param done called once with the answer; it is {@code unknown} with status 0 if none arrived
     */
    void send(CallRequest request, Consumer<CallAnswer> done);
}
