package org.oriolewind.request;

import java.util.function.Consumer;
import org.oriolewind.wire.CallAnswer;
import org.oriolewind.wire.CallRequest;

/** Sends requests to the holder of the key duty. Implementations never block. */
@FunctionalInterface
public interface KeyClaimSender {
    /** Settles nothing; every claim is refused. */
    KeyClaimSender NONE =
            (request, done) ->
                    done.accept(
                            CallAnswers.notRun(
                                    org.oriolewind.wire.NotRunReason.NOT_RUN_REASON_KEY_UNSETTLED));

    /**
     * Sends a request.
     *
     * @param request a request with a key operation
     * @param done called once with the answer; it says {@code unknown} with status 0 if none came
     */
    void send(CallRequest request, Consumer<CallAnswer> done);
}
