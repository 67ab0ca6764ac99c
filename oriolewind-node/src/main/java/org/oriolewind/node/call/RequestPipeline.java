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
import org.oriolewind.request.GateService;
import org.oriolewind.request.PassiveHealth;
import org.oriolewind.routing.RetryBudget;
import org.oriolewind.wire.CallAnswer;
import org.oriolewind.wire.CallRequest;

/**
 * The request path of a node, put together: from callers to other nodes, and through the gate to
 * the backend server. Safe for use by several threads.
 */
public final class RequestPipeline {
    private static final double MAX_SAVED_RETRIES = 20;

    private final Gate mGate;
    private final PassiveHealth mSignals;
    private final PeerCallClient mPeers;
    private final PeerCallServer mPeerServer;
    private final CallerHandler mCallerHandler;
    private final NodeContext mServices;
    private volatile boolean mLeaving;
    private boolean mOut;

    /**
     * Puts the request path together.
     *
     * @param services what the parts of the node share
     * @param backendAddress the backend server's address
     * @param gateSettings settings of the gate
     * @param limits limits towards callers
     * @param control the control side
     * @param evidence counts calls
     */
    public RequestPipeline(
            NodeContext services,
            String backendAddress,
            GateSettings gateSettings,
            CallerLimits limits,
            ControlPlane control,
            EvidenceCollector evidence) {
        mServices = services;
        CallContext request =
                new CallContext(
                        services.self(),
                        services.clock(),
                        ThreadLocalRandomGenerator.INSTANCE,
                        services.config(),
                        new CallEventSampler(services.events(), limits.callEventShare()),
                        new CallMetrics(services.registry()));
        FrameStamper stamp =
                new FrameStamper(services.config(), services.hybrid(), control::onNewerVersion);
        mGate = new Gate(gateSettings, services.clock());
        mSignals = new PassiveHealth(services.clock());
        BackendClient backend =
                new BackendClient(services.httpClient(), backendAddress, limits.maxBodyBytes());
        GateService gateService = new GateService(request, mGate, backend, mSignals);
        mPeers = new PeerCallClient(services, stamp, limits.maxStreams());
        mPeerServer =
                new PeerCallServer(
                        gateService,
                        stamp,
                        limits.maxStreams(),
                        control::onKeyRequest,
                        (connection, frame) -> connection.abort());
        CallDispatcher dispatcher =
                new CallDispatcher(
                        request,
                        control::directory,
                        new RetryBudget(limits.retriesPerCall(), MAX_SAVED_RETRIES),
                        gateService,
                        mPeers,
                        evidence,
                        new LocalVersionStops(services.events()),
                        (key, done) -> sendKeyRequest(services, control, key, done));
        mCallerHandler =
                new CallerHandler(
                        dispatcher, services.clock(), control::isReady, () -> mLeaving, limits);
        registerGauges(services.registry());
    }

    private void sendKeyRequest(
            NodeContext services,
            ControlPlane control,
            CallRequest request,
            Consumer<CallAnswer> done) {
        String address = control.rolloutLeaderAddress();
        if (address.equals(services.self().getPeerAddress())) {
            control.onKeyRequest(request, done);
        } else {
            mPeers.send(address, request, done);
        }
    }

    private void registerGauges(MetricRegistry registry) {
        registry.register("gate.limit", (Gauge<Integer>) () -> mGate.load().limit());
        registry.register("gate.in_flight", (Gauge<Integer>) () -> mGate.load().inFlight());
        registry.register("gate.queued", (Gauge<Integer>) () -> mGate.load().queued());
        registry.register("callers.open_calls", (Gauge<Integer>) mCallerHandler::openCalls);
    }

    /**
     * Returns the gate.
     *
     * @return the gate in front of the backend server
     */
    public Gate gate() {
        return mGate;
    }

    /**
     * Returns what calls show of the backend server.
     *
     * @return the signals
     */
    public PassiveHealth signals() {
        return mSignals;
    }

    /**
     * Returns the handler of callers' requests.
     *
     * @return the handler
     */
    public Handler callerHandler() {
        return mCallerHandler;
    }

    /**
     * Returns the listener for connections that carry calls.
     *
     * @return the listener
     */
    public PeerListener callListener() {
        return mPeerServer;
    }

    /**
     * Returns whether no call is in progress, neither of a caller nor at the gate.
     *
     * @return true if the node can end without cutting a call
     */
    public boolean isIdle() {
        return mCallerHandler.openCalls() == 0 && mGate.load().inFlight() == 0;
    }

    /** Ends callers' connections with their next answers. */
    public void beginShutdown() {
        mLeaving = true;
    }

    /**
     * Tells other nodes that no later call is run here, so that none that crosses the end of this
     * node is in doubt.
     */
    public void goAway() {
        mPeerServer.goAway();
    }

    /**
     * Returns whether no other node has a connection open that carries calls to this one.
     *
     * @return true once all have taken note of the end
     */
    public boolean isLeft() {
        return mPeerServer.isIdle();
    }

    /** Ends calls whose time has run out. To be called several times a second. */
    public void tick() {
        restartGateOnReturn();
        mGate.tick();
        mPeers.tick();
    }

    /** Lets load return step by step when operators bring the data centre back. */
    private void restartGateOnReturn() {
        boolean out =
                mServices
                        .config()
                        .current()
                        .dataCentresOut()
                        .contains(mServices.self().getDataCentre());
        if (mOut && !out) {
            mGate.restart();
        }
        mOut = out;
    }
}
