package org.oriolewind.backend;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.oriolewind.request.BackendCallSender;
import org.oriolewind.request.CallAnswers;
import org.oriolewind.request.Cancellable;
import org.oriolewind.wire.CallAnswer;
import org.oriolewind.wire.CallOutcome;
import org.oriolewind.wire.CallRequest;
import org.oriolewind.wire.Header;
import org.oriolewind.wire.NotRunReason;

/**
 * A call that passes the admission gate and is forwarded to the backend server.
 *
 * <p>Invariant: the answer is delivered exactly once; it is {@code not run} only if the call was
 * not forwarded, could not be sent at all, or was refused by the backend server itself. Not
 * thread-safe.
 */
final class BackendCall implements QueuedCall, Cancellable, BackendCallSender.Listener {
    private static final long NANOS_PER_MICRO = 1000;
    private static final int MIN_SERVER_ERROR_STATUS = 500;

    private final BackendCallServer mCallServer;
    private final CallRequest mRequest;
    private final Consumer<CallAnswer> mDone;
    private final long mDeadlineMillis;
    private final long mTargetMillis;
    private long mForwardedNanos;
    private Optional<Cancellable> mBackendRequest = Optional.empty();
    private boolean mCancelled;

    BackendCall(BackendCallServer callServer, CallRequest request, Consumer<CallAnswer> done) {
        mCallServer = callServer;
        mRequest = request;
        mDone = done;
        long now = callServer.clock().monotonicMillis();
        mDeadlineMillis = now + request.getTimeoutMillis();
        mTargetMillis = now + request.getAimMillis();
    }

    @Override
    public String route() {
        return mRequest.getRoute();
    }

    @Override
    public long deadlineMillis() {
        return mDeadlineMillis;
    }

    @Override
    public long targetMillis() {
        return mTargetMillis;
    }

    @Override
    public int priority() {
        return mRequest.getPriority();
    }

    @Override
    public void onAdmitted() {
        mForwardedNanos = mCallServer.clock().monotonicNanos();
        long timeLeftMillis = mDeadlineMillis - mCallServer.clock().monotonicMillis();
        mBackendRequest =
                Optional.of(
                        mCallServer.callSender().send(mRequest, Math.max(1, timeLeftMillis), this));
    }

    @Override
    public void onRefused(NotRunReason reason, long retryAfterMillis) {
        mDone.accept(mCallServer.notRun(reason, retryAfterMillis));
    }

    @Override
    public void cancel() {
        mCancelled = true;
        if (!mCallServer.gate().cancel(this)) {
            mBackendRequest.ifPresent(Cancellable::cancel);
        }
    }

    private long serviceMicros() {
        return (mCallServer.clock().monotonicNanos() - mForwardedNanos) / NANOS_PER_MICRO;
    }

    @Override
    public void onAnswer(int status, List<Header> headers, ByteString body) {
        long micros = serviceMicros();
        boolean failed = status >= MIN_SERVER_ERROR_STATUS;
        // A failure may be answered early, so its duration says nothing about the service time.
        mCallServer.gate().leave(route(), failed ? Optional.empty() : Optional.of(micros));
        mCallServer.onEnded(failed);
        mDone.accept(
                mCallServer.withLoad(
                        CallAnswer.newBuilder()
                                .setOutcome(CallOutcome.CALL_OUTCOME_ANSWERED)
                                .setStatus(status)
                                .addAllHeaders(headers)
                                .setBody(body)
                                .setServiceMicros(micros)));
    }

    @Override
    public void onRefused(boolean draining) {
        mCallServer.gate().leave(route(), Optional.empty());
        if (draining) {
            mCallServer.backend().onWrongInstance();
            mCallServer.refresh();
            onRefused(NotRunReason.NOT_RUN_REASON_LEAVING, 0);
        } else {
            mCallServer.onEnded(true);
            onRefused(NotRunReason.NOT_RUN_REASON_REFUSED_BY_BACKEND, 0);
        }
    }

    @Override
    public void onFailure(boolean sent, boolean timedOut, String reason) {
        long micros = serviceMicros();
        boolean slow = timedOut && !mCancelled;
        mCallServer.gate().leave(route(), slow ? Optional.of(micros) : Optional.empty());
        if (!mCancelled) {
            mCallServer.onEnded(true);
            mCallServer
                    .log()
                    .failedLocally(
                            mRequest.getCallId(),
                            mRequest.getTargetInstance(),
                            (timedOut ? "deadline exceeded" : "connection failed")
                                    + (sent
                                            ? " after the request was sent"
                                            : " before the request was sent")
                                    + " ("
                                    + reason
                                    + ")",
                            micros / NANOS_PER_MICRO);
        }
        if (sent) {
            mDone.accept(
                    mCallServer.withLoad(
                            CallAnswers.unknown().toBuilder().setServiceMicros(micros)));
            return;
        }
        if (!timedOut && !mCancelled) {
            mCallServer.backend().onUnreachable();
            mCallServer.refresh();
        }
        onRefused(
                timedOut
                        ? NotRunReason.NOT_RUN_REASON_EXPIRED
                        : NotRunReason.NOT_RUN_REASON_UNREACHABLE,
                0);
    }
}
