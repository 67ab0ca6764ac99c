package org.oriolewind.request;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.oriolewind.analysis.EvidenceCollector;
import org.oriolewind.analysis.LocalVersionStops;
import org.oriolewind.config.MeshConfig;
import org.oriolewind.config.RouteConfig;
import org.oriolewind.config.ServiceConfig;
import org.oriolewind.membership.MemberDirectory;
import org.oriolewind.routing.EndpointSelector;
import org.oriolewind.routing.RetryBudget;
import org.oriolewind.wire.CallAnswer;
import org.oriolewind.wire.CallRequest;
import org.oriolewind.wire.Member;

/**
 * Takes callers' calls to a backend server, sending again where that is safe. Safe for use by
 * several threads.
 */
public final class CallDispatcher {
    private final CallContext mServices;
    private final Supplier<MemberDirectory> mDirectory;
    private final EndpointSelector mEndpoints;
    private final RetryBudget mRetryBudget;
    private final GateService mGate;
    private final PeerCallSender mPeers;
    private final EvidenceCollector mEvidence;
    private final LocalVersionStops mStops;
    private final KeyClaimSender mKeys;

    /**
     * Creates a dispatcher.
     *
     * @param services what the parts of the request path share
     * @param directory the members that take calls
     * @param retryBudget bounds retries
     * @param gate the gate of this node
     * @param peers the way to other nodes
     * @param evidence counts calls
     * @param stops versions that this node stopped sending to
     * @param keys the way to the holder of the key duty
     */
    public CallDispatcher(
            CallContext services,
            Supplier<MemberDirectory> directory,
            RetryBudget retryBudget,
            GateService gate,
            PeerCallSender peers,
            EvidenceCollector evidence,
            LocalVersionStops stops,
            KeyClaimSender keys) {
        mServices = services;
        mDirectory = directory;
        mEndpoints = new EndpointSelector(services.self().getDataCentre());
        mRetryBudget = retryBudget;
        mGate = gate;
        mPeers = peers;
        mEvidence = evidence;
        mStops = stops;
        mKeys = keys;
    }

    /**
     * Dispatches a call.
     *
     * @param call the call
     * @param done called once with the result, on any thread
     */
    public void dispatch(CallerCall call, Consumer<CallResult> done) {
        MeshConfig config = mServices.config().current();
        Optional<RouteConfig> route = config.routeFor(call.path());
        if (route.isEmpty()) {
            done.accept(CallResult.noRoute(call.path()));
            return;
        }
        ServiceConfig service = config.service(route.get().service()).orElseThrow();
        mRetryBudget.onCall();
        if (route.get().idempotent() || call.idempotencyKey().isEmpty()) {
            new DispatchedCall(this, config, route.get(), service, call, done).send();
            return;
        }
        long timeLeftMillis = call.deadlineMillis() - mServices.clock().monotonicMillis();
        KeyedCall keyed =
                new KeyedCall(
                        mKeys,
                        route.get().name(),
                        call.idempotencyKey().get(),
                        Long.toHexString(mServices.random().nextLong()),
                        (int) Math.max(1, timeLeftMillis),
                        done);
        keyed.run(
                ended ->
                        new DispatchedCall(this, config, route.get(), service, call, ended).send());
    }

    Cancellable sendTo(Member target, CallRequest request, Consumer<CallAnswer> done) {
        if (target.getNode().equals(mServices.self().getNode())) {
            return mGate.serve(request, done);
        }
        return mPeers.send(target.getPeerAddress(), request, done);
    }

    MemberDirectory directory() {
        return mDirectory.get();
    }

    EndpointSelector endpoints() {
        return mEndpoints;
    }

    RetryBudget retryBudget() {
        return mRetryBudget;
    }

    EvidenceCollector evidence() {
        return mEvidence;
    }

    LocalVersionStops stops() {
        return mStops;
    }

    CallContext services() {
        return mServices;
    }
}
