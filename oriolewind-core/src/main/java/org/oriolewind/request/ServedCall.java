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
 * <p>Invariant: the answer is delivered exactly once; it is {@code not run} only if the call was
 * not forwarded, could not be sent at all, or was refused by the backend server itself.
 * Thread-safe.
 */
final class ServedCall implements AdmissionCall, Cancellable, BackendCallSender.Listener {
    private static final long NANOS_PER_MICRO = 1000;

    private final GatedCallServer mServer;
    private final CallRequest mRequest;
    private final Consumer<CallAnswer> mDone;
    private final long mDeadlineMillis;
    private final AtomicBoolean mLeftGate = new AtomicBoolean();
    private volatile Cancellable mBackendCall;
    private volatile boolean mCancelled;
    private long mForwardedNanos;
    private int mInFlightAtStart;

    ServedCall(GatedCallServer server, CallRequest request, Consumer<CallAnswer> done) {
        mServer = server;
        mRequest = request;
        mDone = done;
        mDeadlineMillis = server.clock().monotonicMillis() + request.getTimeoutMillis();
    }

    @Override
    public long deadlineMillis() {
        return mDeadlineMillis;
    }

    @Override
    public void onRefused(NotRunReason reason) {
        mServer.recordRefused(mRequest, reason);
        mDone.accept(mServer.withLoad(CallAnswers.notRun(reason).toBuilder()));
    }

    @Override
    public void onAdmitted() {
        long timeLeftMillis = mDeadlineMillis - mServer.clock().monotonicMillis();
        if (timeLeftMillis <= 0 || mCancelled) {
            mServer.gate().leaveUnsampled();
            onRefused(
                    mCancelled
                            ? NotRunReason.NOT_RUN_REASON_CANCELLED
                            : NotRunReason.NOT_RUN_REASON_EXPIRED);
            return;
        }
        mInFlightAtStart = mServer.gate().load().inFlight();
        mForwardedNanos = mServer.clock().monotonicNanos();
        mServer.recordForwarded(mRequest, mInFlightAtStart);
        mBackendCall = mServer.backend().send(mRequest, timeLeftMillis, this);
        if (mCancelled) {
            mBackendCall.cancel();
        }
    }

    @Override
    public void cancel() {
        mCancelled = true;
        if (mServer.gate().cancel(this)) {
            return;
        }
        Cancellable backendCall = mBackendCall;
        if (backendCall != null) {
            backendCall.cancel();
        }
    }

    private long serviceMicros() {
        return (mServer.clock().monotonicNanos() - mForwardedNanos) / NANOS_PER_MICRO;
    }

    private void leaveGate(boolean overloaded) {
        if (mLeftGate.compareAndSet(false, true)) {
            mServer.gate()
                    .leave(mRequest.getRoute(), mInFlightAtStart, serviceMicros(), overloaded);
        }
    }

    @Override
    public void onAnswer(int status, List<Header> headers, ByteString body) {
        long micros = serviceMicros();
        leaveGate(false);
        mServer.passiveHealth().onAnswered();
        CallAnswer.Builder answer =
                CallAnswer.newBuilder()
                        .setOutcome(CallOutcome.CALL_OUTCOME_ANSWERED)
                        .setStatus(status)
                        .addAllHeaders(headers)
                        .setBody(body)
                        .setServiceMicros(micros);
        mDone.accept(mServer.withLoad(answer));
    }

    @Override
    public void onRefused(boolean draining) {
        leaveGate(true);
        if (draining) {
            mServer.passiveHealth().onDraining();
            onRefused(NotRunReason.NOT_RUN_REASON_LEAVING);
        } else {
            onRefused(NotRunReason.NOT_RUN_REASON_REFUSED_BY_BACKEND);
        }
    }

    @Override
    public void onFailure(boolean sent, boolean timedOut, String reason) {
        long micros = serviceMicros();
        if (mCancelled) {
            if (mLeftGate.compareAndSet(false, true)) {
                mServer.gate().leaveUnsampled();
            }
        } else {
            leaveGate(true);
        }
        if (sent) {
            mDone.accept(
                    mServer.withLoad(CallAnswers.unknown().toBuilder().setServiceMicros(micros)));
            return;
        }
        mServer.passiveHealth().onUnreachable();
        onRefused(
                timedOut
                        ? NotRunReason.NOT_RUN_REASON_EXPIRED
                        : NotRunReason.NOT_RUN_REASON_UNREACHABLE);
    }
}
