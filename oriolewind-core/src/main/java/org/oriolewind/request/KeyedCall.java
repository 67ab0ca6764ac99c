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
 * A call that carries an idempotency key on a route that is not idempotent. It is sent only once
 * its key is claimed; a claim whose call was not run is given back. Not safe for use by several
 * threads at once.
 */
final class KeyedCall {
    private static final int CREATED = 201;
    private static final int CONFLICT = 409;

    private final KeyClaimSender mKeys;
    private final String mKey;
    private final String mNonce;
    private final int mTimeoutMillis;
    private final Consumer<CallResult> mDone;

    KeyedCall(
            KeyClaimSender keys,
            String route,
            String key,
            String nonce,
            int timeoutMillis,
            Consumer<CallResult> done) {
        mKeys = keys;
        mKey = KeyDigest.of(route, key);
        mNonce = nonce;
        mTimeoutMillis = timeoutMillis;
        mDone = done;
    }

    /** Claims the key, then sends the call by the given way. */
    void run(Consumer<Consumer<CallResult>> send) {
        mKeys.send(request(KeyOperation.KEY_OPERATION_CLAIM), verdict -> onVerdict(verdict, send));
    }

    private CallRequest request(KeyOperation operation) {
        return CallRequest.newBuilder()
                .setKeyOperation(operation)
                .setIdempotencyKey(mKey)
                .setCallId(mNonce)
                .setTimeoutMillis(mTimeoutMillis)
                .build();
    }

    private void onVerdict(CallAnswer verdict, Consumer<Consumer<CallResult>> send) {
        if (verdict.getOutcome() == CallOutcome.CALL_OUTCOME_ANSWERED) {
            // The answer of the earlier call of this key.
            mDone.accept(CallResult.ended(verdict, Optional.empty()));
        } else if (verdict.getStatus() == CREATED) {
            send.accept(this::onEnded);
        } else if (verdict.getStatus() == CONFLICT) {
            mDone.accept(CallResult.ended(CallAnswers.unknown(), Optional.empty()));
        } else {
            // The claim may have been written although no verdict came; the call itself was not
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
            CallRequest done =
                    KeyClaimRegistry.doneRequest(mKey, mNonce, result.answer()).toBuilder()
                            .setTimeoutMillis(mTimeoutMillis)
                            .build();
            mKeys.send(done, stored -> {});
        }
        mDone.accept(result);
    }

    private void release() {
        mKeys.send(request(KeyOperation.KEY_OPERATION_RELEASE), released -> {});
    }
}
