package org.oriolewind.request;

import java.util.Optional;
import java.util.function.Consumer;
import org.oriolewind.idempotency.KeyClaimRegistry;
import org.oriolewind.idempotency.KeyDigest;
import org.oriolewind.wire.CallAnswer;
import org.oriolewind.wire.CallOutcome;
import org.oriolewind.wire.CallRequest;
import org.oriolewind.wire.KeyOperation;
import org.oriolewind.wire.NotRunReason;

/**
 * A call with an idempotency key on a route that is not idempotent. The call is sent only after its
 * key is claimed, and the claim is released if the call was not run. Confined to one thread at a
 * time.
 */
final class KeyedCall {
    private static final int CREATED = 201;
    private static final int CONFLICT = 409;

    private final KeyClaimSender mKeyClaimSender;
    private final String mKey;
    private final String mNonce;
    private final int mTimeoutMillis;
    private final Consumer<CallResult> mDone;

    KeyedCall(
            KeyClaimSender keyClaimSender,
            String route,
            String key,
            String nonce,
            int timeoutMillis,
            Consumer<CallResult> done) {
        mKeyClaimSender = keyClaimSender;
        mKey = KeyDigest.of(route, key);
        mNonce = nonce;
        mTimeoutMillis = timeoutMillis;
        mDone = done;
    }

    /** Claims the key, and sends the call with {@code send} if the claim is granted. */
    void run(Consumer<Consumer<CallResult>> send) {
        mKeyClaimSender.send(
                request(KeyOperation.KEY_OPERATION_CLAIM),
                claimAnswer -> onClaimAnswer(claimAnswer, send));
    }

    private CallRequest request(KeyOperation operation) {
        return CallRequest.newBuilder()
                .setKeyOperation(operation)
                .setIdempotencyKey(mKey)
                .setCallId(mNonce)
                .setTimeoutMillis(mTimeoutMillis)
                .build();
    }

    private void onClaimAnswer(CallAnswer claimAnswer, Consumer<Consumer<CallResult>> send) {
        if (claimAnswer.getOutcome() == CallOutcome.CALL_OUTCOME_ANSWERED) {
            // The stored answer of the earlier call with this key.
            mDone.accept(CallResult.ended(claimAnswer, Optional.empty()));
        } else if (claimAnswer.getStatus() == CREATED) {
            send.accept(this::onEnded);
        } else if (claimAnswer.getStatus() == CONFLICT) {
            mDone.accept(CallResult.ended(CallAnswers.unknown(), Optional.empty()));
        } else {
            // The claim may have been stored although no answer arrived; the call itself was not
            // run.
            release();
            mDone.accept(
                    CallResult.ended(
                            CallAnswers.notRun(NotRunReason.NOT_RUN_REASON_KEY_UNSETTLED),
                            Optional.empty()));
        }
    }

    private void onEnded(CallResult result) {
        CallOutcome outcome = result.answer().getOutcome();
        if (outcome == CallOutcome.CALL_OUTCOME_NOT_RUN) {
            release();
        } else if (outcome == CallOutcome.CALL_OUTCOME_ANSWERED
                && KeyClaimRegistry.isStorable(result.answer())) {
            CallRequest storeAnswer =
                    KeyClaimRegistry.doneRequest(mKey, mNonce, result.answer()).toBuilder()
                            .setTimeoutMillis(mTimeoutMillis)
                            .build();
            mKeyClaimSender.send(storeAnswer, ignored -> {});
        }
        mDone.accept(result);
    }

    private void release() {
        mKeyClaimSender.send(request(KeyOperation.KEY_OPERATION_RELEASE), ignored -> {});
    }
}
