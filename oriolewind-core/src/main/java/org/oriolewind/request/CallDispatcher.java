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
 * Dispatches callers' calls to backend servers and retries them where that is safe. Thread-safe.
 */
public final class CallDispatcher {
    private final CallContext mContext;
    private final Supplier<MemberDirectory> mDirectory;
    private final EndpointSelector mEndpointSelector;
    private final RetryBudget mRetryBudget;
    private final GatedCallServer mLocalServer;
    private final PeerCallSender mPeers;
    private final EvidenceCollector mEvidence;
    private final LocalVersionStops mStops;
    private final KeyClaimSender mKeyClaimSender;

    /**
     * Creates a dispatcher for calls that enter the mesh at this node.
     *
     * @param context collaborators that the request pipeline shares
     * @param directory returns the current members, from which targets are selected
     * @param retryBudget limits retries to a share of the calls
     * @param localServer serves calls whose target is this node
     * @param peers sends calls to other nodes
     * @param evidence counts call outcomes by version while a move is monitored
     * @param stops versions that this node has stopped sending calls to
     * @param keyClaimSender sends key operations to the holder of the rollout lease, which grants
     *     claims of keys
     */
    public CallDispatcher(
            CallContext context,
            Supplier<MemberDirectory> directory,
            RetryBudget retryBudget,
            GatedCallServer localServer,
            PeerCallSender peers,
            EvidenceCollector evidence,
            LocalVersionStops stops,
            KeyClaimSender keyClaimSender) {
        mContext = context;
        mDirectory = directory;
        mEndpointSelector = new EndpointSelector(context.self().getDataCentre());
        mRetryBudget = retryBudget;
        mLocalServer = localServer;
        mPeers = peers;
        mEvidence = evidence;
        mStops = stops;
        mKeyClaimSender = keyClaimSender;
    }

    /**
     * Dispatches a call under the configuration in force. A call with an idempotency key on a route
     * that is not idempotent is sent only after its key is claimed.
     *
     * @param done called once with the result, on any thread
     */
    public void dispatch(CallerCall call, Consumer<CallResult> done) {
        MeshConfig config = mContext.config().current();
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
        long timeLeftMillis = call.deadlineMillis() - mContext.clock().monotonicMillis();
        KeyedCall keyed =
                new KeyedCall(
                        mKeyClaimSender,
                        route.get().name(),
                        call.idempotencyKey().get(),
                        Long.toHexString(mContext.random().nextLong()),
                        (int) Math.max(1, timeLeftMillis),
                        done);
        keyed.run(
                ended ->
                        new DispatchedCall(this, config, route.get(), service, call, ended).send());
    }

    Cancellable sendTo(Member target, CallRequest request, Consumer<CallAnswer> done) {
        if (target.getNode().equals(mContext.self().getNode())) {
            return mLocalServer.serve(request, done);
        }
        return mPeers.send(target.getPeerAddress(), request, done);
    }

    MemberDirectory directory() {
        return mDirectory.get();
    }

    EndpointSelector endpointSelector() {
        return mEndpointSelector;
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

    CallContext context() {
        return mContext;
    }
}
