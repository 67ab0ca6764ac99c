package org.oriolewind.node.call;

import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.oriolewind.config.InstalledConfig;
import org.oriolewind.config.MeshConfig;
import org.oriolewind.config.RouteConfig;
import org.oriolewind.config.ServiceConfig;
import org.oriolewind.membership.MemberDirectory;
import org.oriolewind.rollout.EvidenceCollector;
import org.oriolewind.routing.EndpointChooser;
import org.oriolewind.routing.RetryBudget;
import org.oriolewind.time.NodeClock;
import org.oriolewind.wire.CallAnswer;
import org.oriolewind.wire.CallRequest;
import org.oriolewind.wire.Member;

/**
 * Takes callers' calls to a backend server, sending again where that is safe. Safe for use by
 * several threads.
 */
final class CallDispatcher {
    private final Member mSelf;
    private final InstalledConfig mConfig;
    private final Supplier<MemberDirectory> mDirectory;
    private final EndpointChooser mEndpoints;
    private final RetryBudget mRetryBudget;
    private final GateService mGate;
    private final PeerCalls mPeers;
    private final EvidenceCollector mEvidence;
    private final CallEvents mEvents;
    private final CallMeters mMeters;
    private final NodeClock mClock;

    CallDispatcher(
            NodeServices services,
            Supplier<MemberDirectory> directory,
            RetryBudget retryBudget,
            GateService gate,
            PeerCalls peers,
            EvidenceCollector evidence,
            CallEvents events) {
        mSelf = services.self();
        mConfig = services.config();
        mDirectory = directory;
        mEndpoints = new EndpointChooser(services.self().getDataCentre());
        mRetryBudget = retryBudget;
        mGate = gate;
        mPeers = peers;
        mEvidence = evidence;
        mEvents = events;
        mMeters = new CallMeters(services.registry());
        mClock = services.clock();
    }

    /** Dispatches a call; the result comes once, on any thread. */
    void dispatch(CallerCall call, Consumer<CallResult> done) {
        MeshConfig config = mConfig.current();
        Optional<RouteConfig> route = config.routeFor(call.path());
        if (route.isEmpty()) {
            done.accept(CallResult.noRoute(call.path()));
            return;
        }
        ServiceConfig service = config.service(route.get().service()).orElseThrow();
        mRetryBudget.onCall();
        new DispatchedCall(this, config, route.get(), service, call, done).send();
    }

    Cancellable sendTo(Member target, CallRequest request, Consumer<CallAnswer> done) {
        if (target.getNode().equals(mSelf.getNode())) {
            return mGate.serve(request, done);
        }
        return mPeers.send(target.getPeerAddress(), request, done);
    }

    MemberDirectory directory() {
        return mDirectory.get();
    }

    EndpointChooser endpoints() {
        return mEndpoints;
    }

    RetryBudget retryBudget() {
        return mRetryBudget;
    }

    EvidenceCollector evidence() {
        return mEvidence;
    }

    CallEvents events() {
        return mEvents;
    }

    CallMeters meters() {
        return mMeters;
    }

    NodeClock clock() {
        return mClock;
    }

    ThreadLocalRandom random() {
        return ThreadLocalRandom.current();
    }
}
