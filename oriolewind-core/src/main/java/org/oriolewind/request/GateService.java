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
 * Serves the calls for the backend server beside this node: checks that they belong here, passes
 * them through the gate and answers. Safe for use by several threads.
 */
public final class GateService implements CallServer {
    private final CallContext mServices;
    private final Gate mGate;
    private final BackendCallSender mBackend;
    private final PassiveHealth mSignals;

    /**
     * Creates a service.
     *
     * @param services what the parts of the request path share
     * @param gate the gate in front of the backend server
     * @param backend the backend server
     * @param signals takes what calls show of the backend server
     */
    public GateService(
            CallContext services, Gate gate, BackendCallSender backend, PassiveHealth signals) {
        mServices = services;
        mGate = gate;
        mBackend = backend;
        mSignals = signals;
    }

    Gate gate() {
        return mGate;
    }

    NodeClock clock() {
        return mServices.clock();
    }

    BackendCallSender backend() {
        return mBackend;
    }

    PassiveHealth signals() {
        return mSignals;
    }

    @Override
    public Cancellable serve(CallRequest request, Consumer<CallAnswer> done) {
        NotRunReason refusal = refusal(request);
        if (refusal != NotRunReason.NOT_RUN_REASON_UNSPECIFIED) {
            refused(request, refusal);
            done.accept(withLoad(CallAnswers.notRun(refusal).toBuilder()));
            return () -> {};
        }
        ServedCall call = new ServedCall(this, request, done);
        mGate.enter(call);
        return call;
    }

    private NotRunReason refusal(CallRequest request) {
        MeshConfig config = mServices.config().current();
        Member self = mServices.self();
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

    void refused(CallRequest request, NotRunReason reason) {
        mServices
                .events()
                .record(
                        request.getCallId(),
                        () -> event(EventKind.CALL_REFUSED, request, 0, reason.name()));
    }

    void handedOver(CallRequest request, int inFlight) {
        mServices
                .events()
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
                mServices.self().getNode(),
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
