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
 * One call at the gate of this node.
 *
 * <p>Invariant: the answer is given once; it says {@code not run} only if the call was not handed
 * over, could not be sent at all, or was refused by the backend server itself. Safe for use by
 * several threads.
 */
final class ServedCall implements AdmissionCall, Cancellable, BackendCallSender.Listener {
    private static final long NANOS_PER_MICRO = 1000;

    private final GateService mService;
    private final CallRequest mRequest;
    private final Consumer<CallAnswer> mDone;
    private final long mDeadlineMillis;
    private final AtomicBoolean mLeft = new AtomicBoolean();
    private volatile Cancellable mBackendCall;
    private volatile boolean mCancelled;
    private long mHandedOverNanos;
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
        mService.refused(mRequest, reason);
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
        mHandedOverNanos = mService.clock().monotonicNanos();
        mService.handedOver(mRequest, mInFlightAtStart);
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
        return (mService.clock().monotonicNanos() - mHandedOverNanos) / NANOS_PER_MICRO;
    }

    private void leave(boolean overloaded) {
        if (mLeft.compareAndSet(false, true)) {
            mService.gate()
                    .leave(mRequest.getRoute(), mInFlightAtStart, serviceMicros(), overloaded);
        }
    }

    @Override
    public void onAnswer(int status, List<Header> headers, ByteString body) {
        long micros = serviceMicros();
        leave(false);
        mService.signals().onAnswered();
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
        leave(true);
        if (draining) {
            mService.signals().onDraining();
            onRefused(NotRunReason.NOT_RUN_REASON_LEAVING);
        } else {
            onRefused(NotRunReason.NOT_RUN_REASON_REFUSED_BY_BACKEND);
        }
    }

    @Override
    public void onFailure(boolean sent, boolean timedOut) {
        long micros = serviceMicros();
        if (mCancelled) {
            if (mLeft.compareAndSet(false, true)) {
                mService.gate().leaveUnsampled();
            }
        } else {
            leave(true);
        }
        if (sent) {
            mDone.accept(
                    mService.withLoad(CallAnswers.unknown().toBuilder().setServiceMicros(micros)));
            return;
        }
        mService.signals().onUnreachable();
        onRefused(
                timedOut
                        ? NotRunReason.NOT_RUN_REASON_EXPIRED
                        : NotRunReason.NOT_RUN_REASON_UNREACHABLE);
    }
}
