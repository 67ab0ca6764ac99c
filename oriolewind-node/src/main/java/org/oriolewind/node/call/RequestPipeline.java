package org.oriolewind.node.call;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.function.Consumer;
import org.eclipse.jetty.server.Handler;
import org.oriolewind.admission.Gate;
import org.oriolewind.admission.GateSettings;
import org.oriolewind.analysis.EvidenceCollector;
import org.oriolewind.analysis.LocalVersionStops;
import org.oriolewind.node.peer.PeerListener;
import org.oriolewind.request.CallContext;
import org.oriolewind.request.CallDispatcher;
import org.oriolewind.request.CallEventSampler;
import org.oriolewind.request.GatedCallServer;
import org.oriolewind.request.PassiveHealth;
import org.oriolewind.routing.RetryBudget;
import org.oriolewind.wire.CallAnswer;
import org.oriolewind.wire.CallRequest;

/**
 * Assembles the request path of a node: from callers to other nodes, and through the admission gate
 * to the backend server. Thread-safe.
 */
public final class RequestPipeline {
    private static final double MAX_RETRY_BUDGET = 20;

    private final Gate mGate;
    private final PassiveHealth mPassiveHealth;
    private final PeerCallClient mPeerCalls;
    private final PeerCallServer mPeerServer;
    private final CallerHandler mCallerHandler;
    private final NodeContext mContext;
    private volatile boolean mShuttingDown;
    private boolean mDataCentreOut;

    /**
     * Creates the components of the request path and registers their gauges.
     *
     * @param context components shared within the node
     * @param backendAddress host and port of the backend server
     * @param gateSettings settings of the admission gate
     * @param limits limits on calls
     * @param control control plane of this node
     * @param evidence counts the outcomes of calls, as evidence about moves
     */
    public RequestPipeline(
            NodeContext context,
            String backendAddress,
            GateSettings gateSettings,
            CallerLimits limits,
            ControlPlane control,
            EvidenceCollector evidence) {
        mContext = context;
        CallContext callContext =
                new CallContext(
                        context.self(),
                        context.clock(),
                        ThreadLocalRandomGenerator.INSTANCE,
                        context.config(),
                        new CallEventSampler(context.events(), limits.callEventShare()),
                        new CallMetrics(context.registry()));
        FrameStamper stamper =
                new FrameStamper(context.config(), context.hybrid(), control::onNewerVersion);
        mGate = new Gate(gateSettings, context.clock());
        mPassiveHealth = new PassiveHealth(context.clock());
        BackendClient backend =
                new BackendClient(context.httpClient(), backendAddress, limits.maxBodyBytes());
        GatedCallServer localServer =
                new GatedCallServer(callContext, mGate, backend, mPassiveHealth);
        mPeerCalls = new PeerCallClient(context, stamper, limits.maxStreams());
        mPeerServer =
                new PeerCallServer(
                        localServer,
                        stamper,
                        limits.maxStreams(),
                        control::onKeyRequest,
                        (connection, frame) -> connection.abort());
        CallDispatcher dispatcher =
                new CallDispatcher(
                        callContext,
                        control::directory,
                        new RetryBudget(limits.retriesPerCall(), MAX_RETRY_BUDGET),
                        localServer,
                        mPeerCalls,
                        evidence,
                        new LocalVersionStops(context.events()),
                        (key, done) -> sendKeyRequest(context, control, key, done));
        mCallerHandler =
                new CallerHandler(
                        dispatcher::dispatch,
                        context.clock(),
                        control::isReady,
                        () -> mShuttingDown,
                        limits);
        registerGauges(context.registry());
    }

    private void sendKeyRequest(
            NodeContext context,
            ControlPlane control,
            CallRequest request,
            Consumer<CallAnswer> done) {
        String address = control.rolloutLeaderAddress();
        if (address.equals(context.self().getPeerAddress())) {
            control.onKeyRequest(request, done);
        } else {
            mPeerCalls.send(address, request, done);
        }
    }

    private void registerGauges(MetricRegistry registry) {
        registry.register("gate.limit", (Gauge<Integer>) () -> mGate.load().limit());
        registry.register("gate.in_flight", (Gauge<Integer>) () -> mGate.load().inFlight());
        registry.register("gate.queued", (Gauge<Integer>) () -> mGate.load().queued());
        registry.register("callers.open_calls", (Gauge<Integer>) mCallerHandler::openCalls);
    }

    /** Returns the admission gate in front of the backend server. */
    public Gate gate() {
        return mGate;
    }

    /** Returns the passive health of the backend server, as the outcomes of calls show it. */
    public PassiveHealth passiveHealth() {
        return mPassiveHealth;
    }

    /** Returns the Jetty handler for requests of callers. */
    public Handler callerHandler() {
        return mCallerHandler;
    }

    /** Returns the listener for connections on which other nodes send calls. */
    public PeerListener callListener() {
        return mPeerServer;
    }

    /**
     * Returns whether no call is in progress, neither from a caller nor at the gate.
     *
     * @return true if the node can terminate without interrupting a call
     */
    public boolean isIdle() {
        return mCallerHandler.openCalls() == 0 && mGate.load().inFlight() == 0;
    }

    /** Starts the shutdown: connections of callers are closed with their next answers. */
    public void beginShutdown() {
        mShuttingDown = true;
    }

    /**
     * Announces to other nodes that calls sent from now on are not run here, so that a call that
     * arrives during the shutdown is reported as not run rather than unknown.
     */
    public void goAway() {
        mPeerServer.goAway();
    }

    /**
     * Returns whether no other node has a connection open that carries calls to this one.
     *
     * @return true once all other nodes have closed theirs
     */
    public boolean areCallLinksClosed() {
        return mPeerServer.isIdle();
    }

    /** Ends calls whose deadline has passed. Must be called several times a second. */
    public void tick() {
        restartGateOnDataCentreReturn();
        mGate.tick();
        mPeerCalls.tick();
    }

    /**
     * Restarts the ramp-up of the gate when operators return the data centre to service, so that
     * load increases gradually.
     */
    private void restartGateOnDataCentreReturn() {
        boolean out =
                mContext.config()
                        .current()
                        .dataCentresOut()
                        .contains(mContext.self().getDataCentre());
        if (mDataCentreOut && !out) {
            mGate.restart();
        }
        mDataCentreOut = out;
    }
}
