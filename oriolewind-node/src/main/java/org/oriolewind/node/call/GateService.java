package org.oriolewind.node.call;

import java.util.function.Consumer;
import org.oriolewind.admission.Gate;
import org.oriolewind.config.InstalledConfig;
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
final class GateService {
    private final Member mSelf;
    private final Gate mGate;
    private final BackendClient mBackend;
    private final InstalledConfig mConfig;
    private final NodeClock mClock;
    private final CallEvents mEvents;
    private final BackendSignals mSignals;

    GateService(
            NodeServices services,
            Gate gate,
            BackendClient backend,
            CallEvents events,
            BackendSignals signals) {
        mSelf = services.self();
        mGate = gate;
        mBackend = backend;
        mConfig = services.config();
        mClock = services.clock();
        mEvents = events;
        mSignals = signals;
    }

    Gate gate() {
        return mGate;
    }

    NodeClock clock() {
        return mClock;
    }

    BackendClient backend() {
        return mBackend;
    }

    BackendSignals signals() {
        return mSignals;
    }

    /** Serves a call; the answer comes once, on any thread. */
    Cancellable serve(CallRequest request, Consumer<CallAnswer> done) {
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
        MeshConfig config = mConfig.current();
        if (!request.getService().equals(mSelf.getService())
                || !request.getServiceVersion().equals(mSelf.getServiceVersion())) {
            return NotRunReason.NOT_RUN_REASON_WRONG_TARGET;
        }
        if (config.dataCentresOut().contains(mSelf.getDataCentre())) {
            return NotRunReason.NOT_RUN_REASON_DATA_CENTRE_OUT;
        }
        if (config.drainedNodes().contains(mSelf.getNode())) {
            return NotRunReason.NOT_RUN_REASON_LEAVING;
        }
        return NotRunReason.NOT_RUN_REASON_UNSPECIFIED;
    }

    void refused(CallRequest request, NotRunReason reason) {
        mEvents.record(
                request.getCallId(),
                () -> event(EventKind.CALL_REFUSED, request, 0, reason.name()));
    }

    void handedOver(CallRequest request, int inFlight) {
        mEvents.record(
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
                mSelf.getNode(),
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
