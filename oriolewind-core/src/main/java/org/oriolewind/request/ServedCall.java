package org.oriolewind.request;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.oriolewind.admission.AdmissionCall;
import org.oriolewind.wire.CallAnswer;
import org.oriolewind.wire.CallOutcome;
import org.oriolewind.wire.CallRequest;
import org.oriolewind.wire.Header;
import org.oriolewind.wire.NotRunReason;

/**
 * A call that this node serves, from its arrival at the admission gate to its answer.
 *
 * <p>Invariant: the answer is given once. It says {@code not run} only if the call was not
 * forwarded, could not be sent at all, or was refused by the backend server itself. Thread safe.
 */
final class ServedCall implements AdmissionCall, Cancellable, BackendCallSender.Listener {
    private static final long NANOS_PER_MICRO = 1000;

    private final GateService mService;
    private final CallRequest mRequest;
    private final Consumer<CallAnswer> mDone;
    private final long mDeadlineMillis;
    private final AtomicBoolean mLeftGate = new AtomicBoolean();
    private volatile Cancellable mBackendCall;
    private volatile boolean mCancelled;
    private long mForwardedNanos;
    private int mInFlightAtStart;

    ServedCall(GateService service, CallRequest request, Consumer<CallAnswer> done) {
        mService = service;
        mRequest = request;
        mDone = done;
        mDeadlineMillis = service.clock().monotonicMillis() + request.getTimeoutMillis();
    }

    @Override
    public long deadlineMillis() {
        return mDeadlineMillis;
    }

    @Override
    public void onRefused(NotRunReason reason) {
        mService.recordRefused(mRequest, reason);
        mDone.accept(mService.withLoad(CallAnswers.notRun(reason).toBuilder()));
    }

    @Override
    public void onAdmitted() {
        long timeLeftMillis = mDeadlineMillis - mService.clock().monotonicMillis();
        if (timeLeftMillis <= 0 || mCancelled) {
            mService.gate().leaveUnsampled();
            onRefused(
                    mCancelled
                            ? NotRunReason.NOT_RUN_REASON_CANCELLED
                            : NotRunReason.NOT_RUN_REASON_EXPIRED);
            return;
        }
        mInFlightAtStart = mService.gate().load().inFlight();
        mForwardedNanos = mService.clock().monotonicNanos();
        mService.recordForwarded(mRequest, mInFlightAtStart);
        mBackendCall = mService.backend().send(mRequest, timeLeftMillis, this);
        if (mCancelled) {
            mBackendCall.cancel();
        }
    }

    @Override
    public void cancel() {
        mCancelled = true;
        if (mService.gate().cancel(this)) {
            return;
        }
        Cancellable backendCall = mBackendCall;
        if (backendCall != null) {
            backendCall.cancel();
        }
    }

    private long serviceMicros() {
        return (mService.clock().monotonicNanos() - mForwardedNanos) / NANOS_PER_MICRO;
    }

    private void leaveGate(boolean overloaded) {
        if (mLeftGate.compareAndSet(false, true)) {
            mService.gate()
                    .leave(mRequest.getRoute(), mInFlightAtStart, serviceMicros(), overloaded);
        }
    }

    @Override
    public void onAnswer(int status, List<Header> headers, ByteString body) {
        long micros = serviceMicros();
        leaveGate(false);
        mService.passiveHealth().onAnswered();
        CallAnswer.Builder answer =
                CallAnswer.newBuilder()
                        .setOutcome(CallOutcome.CALL_OUTCOME_ANSWERED)
                        .setStatus(status)
                        .addAllHeaders(headers)
                        .setBody(body)
                        .setServiceMicros(micros);
        mDone.accept(mService.withLoad(answer));
    }

    @Override
    public void onRefused(boolean draining) {
        leaveGate(true);
        if (draining) {
            mService.passiveHealth().onDraining();
            onRefused(NotRunReason.NOT_RUN_REASON_LEAVING);
        } else {
            onRefused(NotRunReason.NOT_RUN_REASON_REFUSED_BY_BACKEND);
        }
    }

    @Override
    public void onFailure(boolean sent, boolean timedOut) {
        long micros = serviceMicros();
        if (mCancelled) {
            if (mLeftGate.compareAndSet(false, true)) {
                mService.gate().leaveUnsampled();
            }
        } else {
            leaveGate(true);
        }
        if (sent) {
            mDone.accept(
                    mService.withLoad(CallAnswers.unknown().toBuilder().setServiceMicros(micros)));
            return;
        }
        mService.passiveHealth().onUnreachable();
        onRefused(
                timedOut
                        ? NotRunReason.NOT_RUN_REASON_EXPIRED
                        : NotRunReason.NOT_RUN_REASON_UNREACHABLE);
    }
}
