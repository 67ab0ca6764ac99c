package org.oriolewind.request;

import java.util.function.Consumer;
import org.oriolewind.admission.Gate;
import org.oriolewind.config.MeshConfig;
import org.oriolewind.event.Event;
import org.oriolewind.event.EventKind;
import org.oriolewind.time.NodeClock;
import org.oriolewind.wire.CallAnswer;
import org.oriolewind.wire.CallRequest;
import org.oriolewind.wire.Member;
import org.oriolewind.wire.NotRunReason;

/**
 * Serves the calls for the backend server beside this node: refuses calls addressed to another
 * target, passes the others through the admission gate and forwards them. Thread-safe.
 */
public final class GatedCallServer implements CallServer {
    private final CallContext mContext;
    private final Gate mGate;
    private final BackendCallSender mBackend;
    private final PassiveHealth mPassiveHealth;

    /**
     * Creates a call server for one backend server.
     *
     * @param context collaborators that the request pipeline shares
     * @param gate limits the concurrency of the backend server
     * @param backend forwards admitted calls to the backend server
     * @param passiveHealth receives what call outcomes show of the backend server's state
     */
    public GatedCallServer(
            CallContext context,
            Gate gate,
            BackendCallSender backend,
            PassiveHealth passiveHealth) {
        mContext = context;
        mGate = gate;
        mBackend = backend;
        mPassiveHealth = passiveHealth;
    }

    Gate gate() {
        return mGate;
    }

    NodeClock clock() {
        return mContext.clock();
    }

    BackendCallSender backend() {
        return mBackend;
    }

    PassiveHealth passiveHealth() {
        return mPassiveHealth;
    }

    @Override
    public Cancellable serve(CallRequest request, Consumer<CallAnswer> done) {
        NotRunReason refusal = refusal(request);
        if (refusal != NotRunReason.NOT_RUN_REASON_UNSPECIFIED) {
            recordRefused(request, refusal);
            done.accept(withLoad(CallAnswers.notRun(refusal).toBuilder()));
            return () -> {};
        }
        ServedCall call = new ServedCall(this, request, done);
        mGate.enter(call);
        return call;
    }

    private NotRunReason refusal(CallRequest request) {
        MeshConfig config = mContext.config().current();
        Member self = mContext.self();
        if (!request.getService().equals(self.getService())
                || !request.getServiceVersion().equals(self.getServiceVersion())) {
            return NotRunReason.NOT_RUN_REASON_WRONG_TARGET;
        }
        if (config.dataCentresOut().contains(self.getDataCentre())) {
            return NotRunReason.NOT_RUN_REASON_DATA_CENTRE_OUT;
        }
        if (config.drainedNodes().contains(self.getNode())) {
            return NotRunReason.NOT_RUN_REASON_LEAVING;
        }
        return NotRunReason.NOT_RUN_REASON_UNSPECIFIED;
    }

    void recordRefused(CallRequest request, NotRunReason reason) {
        mContext.events()
                .record(
                        request.getCallId(),
                        () -> event(EventKind.CALL_REFUSED, request, 0, reason.name()));
    }

    void recordForwarded(CallRequest request, int inFlight) {
        mContext.events()
                .record(
                        request.getCallId(),
                        () -> event(EventKind.CALL_HANDED_OVER, request, inFlight, null));
    }

    private Event event(EventKind kind, CallRequest request, long value, String detail) {
        return Event.ofCall(
                kind,
                request.getCallId(),
                request.getService(),
                request.getServiceVersion(),
                request.getRoute(),
                mContext.self().getNode(),
                value,
                detail);
    }

    CallAnswer withLoad(CallAnswer.Builder answer) {
        Gate.Load load = mGate.load();
        return answer.setLimit(load.limit())
                .setInFlight(load.inFlight() + load.queued())
                .setCold(load.opening())
                .build();
    }
}
