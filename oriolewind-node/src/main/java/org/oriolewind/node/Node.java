package org.oriolewind.node;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.oriolewind.analysis.EvidenceCollector;
import org.oriolewind.config.InstalledConfig;
import org.oriolewind.config.JsonFormat;
import org.oriolewind.control.ControlStatus;
import org.oriolewind.event.Event;
import org.oriolewind.event.EventKind;
import org.oriolewind.node.call.NodeContext;
import org.oriolewind.node.call.RequestPipeline;
import org.oriolewind.node.log.EventLog;
import org.oriolewind.node.peer.PeerAddress;
import org.oriolewind.node.peer.PeerMetrics;
import org.oriolewind.node.peer.PeerRouter;
import org.oriolewind.node.peer.PeerTransport;
import org.oriolewind.node.store.HttpObjectStore;
import org.oriolewind.node.store.RateLimitedStore;
import org.oriolewind.time.HybridClock;
import org.oriolewind.time.NodeClock;
import org.oriolewind.time.SystemNodeClock;
import org.oriolewind.wire.Member;
import org.oriolewind.wire.MemberState;
import org.tinylog.Logger;

/**
 * One node: creates its components from settings, and starts and stops them. The control plane, the
 * request path and the HTTP servers run on threads of their own. Thread-safe.
 */
public final class Node implements AutoCloseable {
    /** Largest response of the platform or the backend server, with its head. */
    private static final long MAX_RESPONSE_BYTES = 8L * 1024 * 1024;

    private static final int PEER_THREADS = 2;
    private static final int HTTP_MAX_THREADS = 12;
    private static final int HTTP_MIN_THREADS = 4;
    private static final long DRAIN_POLL_MILLIS = 20;
    private static final long LEAVE_NOTICE_MILLIS = 1000;
    private static final long BACKEND_IDLE_MILLIS = 10_000;
    private static final int ADMIN_MAX_CONNECTIONS = 32;

    private final NodeSettings mSettings;
    private final NodeClock mClock = new SystemNodeClock();
    private final HybridClock mHybrid = new HybridClock(mClock);
    private final InstalledConfig mConfig = new InstalledConfig();
    private final MetricRegistry mRegistry = new MetricRegistry();
    private final AtomicBoolean mDraining = new AtomicBoolean();
    private final Member mSelf;
    private final EventLog mEvents;
    private final QueuedThreadPool mHttpThreads;
    private final HttpClient mHttpClient;
    private final EventLoopGroup mPeerThreads;
    private final PeerTransport mTransport;
    private final NodeContext mContext;
    private final RateLimitedStore mStore;
    private final ControlRuntime mControlRuntime;
    private final RequestPipeline mRequestPipeline;
    private final BackendMonitor mBackendMonitor;
    private final Server mCallerServer;
    private final Server mAdminServer;
    private volatile boolean mBackendAvailable;
    private volatile ControlStatus mStatus;

    /**
     * Creates a node. Only the event log runs before {@link #start()}.
     *
     * @throws IOException if the event file can't be opened
     */
    public Node(NodeSettings settings) throws IOException {
        mSettings = settings;
        mSelf = newSelf(settings, mClock.millis());
        mEvents = newEventLog(settings);
        mHttpThreads = new QueuedThreadPool(HTTP_MAX_THREADS, HTTP_MIN_THREADS);
        mHttpThreads.setName("http");
        mHttpClient = newHttpClient();
        mPeerThreads = new MultiThreadIoEventLoopGroup(PEER_THREADS, NioIoHandler.newFactory());
        mTransport = new PeerTransport(mPeerThreads, new PeerMetrics(mRegistry));
        mContext =
                new NodeContext(
                        mSelf,
                        mClock,
                        mHybrid,
                        mConfig,
                        mEvents,
                        mRegistry,
                        mTransport,
                        mHttpClient);
        mStore = newStore();
        EvidenceCollector evidence = new EvidenceCollector();
        mControlRuntime =
                new ControlRuntime(mContext, settings.control(), mStore, evidence, this::afterTick);
        mRequestPipeline = newRequestPipeline(evidence);
        mBackendMonitor =
                new BackendMonitor(
                        mHttpClient,
                        "http://" + PeerAddress.text(settings.backend()) + settings.healthPath(),
                        mRequestPipeline.passiveHealth(),
                        mClock,
                        this::onBackendChange);
        mCallerServer = newCallerServer();
        mAdminServer = newAdminServer();
        registerGauges();
    }

    private EventLog newEventLog(NodeSettings settings) throws IOException {
        return new EventLog(
                mClock,
                mHybrid,
                settings.node(),
                mSelf.getIncarnation(),
                settings.dataCentre(),
                mConfig,
                openEventFile(settings.eventFile()));
    }

    private RateLimitedStore newStore() {
        HttpObjectStore store =
                new HttpObjectStore(
                        mHttpClient, mSettings.platformUrl(), mSettings.platformTimeout());
        return new RateLimitedStore(store, mClock, mSettings.platformCallsPerSecond());
    }

    private RequestPipeline newRequestPipeline(EvidenceCollector evidence) {
        return new RequestPipeline(
                mContext,
                PeerAddress.text(mSettings.backend()),
                mSettings.gate(),
                mSettings.limits(),
                mControlRuntime,
                evidence);
    }

    private Server newCallerServer() {
        return JettyServerFactory.newServer(
                mSettings.caller(),
                mHttpThreads,
                mSettings.maxHeaderBytes(),
                mSettings.maxCallerConnections(),
                mSettings.callerIdleTimeout(),
                mRequestPipeline.callerHandler());
    }

    private Server newAdminServer() {
        return JettyServerFactory.newServer(
                mSettings.admin(),
                mHttpThreads,
                mSettings.maxHeaderBytes(),
                ADMIN_MAX_CONNECTIONS,
                mSettings.callerIdleTimeout(),
                new AdminHandler(this::statusJson, mRegistry, this::drain));
    }

    private static Member newSelf(NodeSettings settings, long incarnation) {
        return Member.newBuilder()
                .setNode(settings.node())
                .setIncarnation(incarnation)
                .setSequence(1)
                .setState(MemberState.MEMBER_STATE_LEAVING)
                .setDataCentre(settings.dataCentre())
                .setService(settings.service())
                .setServiceVersion(settings.serviceVersion())
                .setPeerAddress(PeerAddress.text(settings.peer()))
                .setCallerAddress(PeerAddress.text(settings.caller()))
                .build();
    }

    private static OutputStream openEventFile(String file) throws IOException {
        return file.equals("-") ? System.out : new FileOutputStream(file, true);
    }

    private HttpClient newHttpClient() {
        HttpClient client = JettyClientFactory.newClient(mHttpThreads, MAX_RESPONSE_BYTES);
        client.setMaxConnectionsPerDestination(mSettings.maxBackendConnections());
        client.setIdleTimeout(BACKEND_IDLE_MILLIS);
        client.setConnectTimeout(1000);
        return client;
    }

    private void registerGauges() {
        mRegistry.register("config.version", (Gauge<Long>) () -> mConfig.current().version());
        mRegistry.register("platform.calls", (Gauge<Long>) mStore::calls);
        mRegistry.register("platform.refused", (Gauge<Long>) mStore::refused);
        mRegistry.register("events.dropped", (Gauge<Long>) mEvents::dropped);
    }

    /**
     * Opens the listening sockets and starts the control plane. Returns when all servers are
     * started.
     *
     * @throws Exception if an address can't be bound
     */
    public void start() throws Exception {
        mHttpThreads.start();
        mHttpClient.start();
        mHttpClient.getProtocolHandlers().clear();
        mTransport.listen(
                mSettings.peer(),
                new PeerRouter(mControlRuntime.listener(), mRequestPipeline.callListener()));
        mControlRuntime.start();
        mAdminServer.start();
        mCallerServer.start();
        mEvents.record(Event.of(EventKind.NODE_STARTED, null, mSelf.getIncarnation(), null));
        Logger.info(
                "node {} listens for callers on {}",
                mSettings.node(),
                PeerAddress.text(mSettings.caller()));
    }

    private void afterTick() {
        mRequestPipeline.tick();
        mBackendMonitor.tick();
        announce();
        mStatus = mControlRuntime.node().status();
    }

    private void onBackendChange(boolean available) {
        mBackendAvailable = available;
        if (available && !mDraining.get()) {
            mRequestPipeline.gate().reopen();
        } else if (!available) {
            mRequestPipeline.gate().close();
            mEvents.record(
                    Event.of(EventKind.DRAIN_STARTED, null, 0, "backend server is unavailable"));
        }
    }

    /** Announces to other nodes whether this one accepts calls. Runs on the control thread. */
    private void announce() {
        boolean up =
                mBackendAvailable
                        && !mDraining.get()
                        && mControlRuntime.node().isConfigReady()
                        && !mConfig.current().drainedNodes().contains(mSettings.node());
        mControlRuntime
                .node()
                .announce(up ? MemberState.MEMBER_STATE_UP : MemberState.MEMBER_STATE_LEAVING);
    }

    /** Accepts no new calls for the backend server from now on. Calls in progress continue. */
    public void drain() {
        if (mDraining.compareAndSet(false, true)) {
            mEvents.record(Event.of(EventKind.DRAIN_STARTED, null, 0, "drain requested"));
            mRequestPipeline.gate().close();
        }
    }

    private JsonNode statusJson() {
        ObjectNode status = JsonFormat.mapper().valueToTree(mStatus);
        status.put("draining", mDraining.get());
        status.put("backendAvailable", mBackendAvailable);
        status.put("service", mSettings.service());
        status.put("serviceVersion", mSettings.serviceVersion());
        status.putPOJO("gate", JsonFormat.mapper().valueToTree(mRequestPipeline.gate().load()));
        return status;
    }

    /**
     * Drains the node, waits for calls in progress and stops all components. Blocks for at least
     * one second, in which other nodes receive the leaving state; calls are not aborted before the
     * drain timeout. Connections of callers are accepted for that second, and those accepted are
     * served until their calls have ended.
     */
    @Override
    public void close() {
        drain();
        mRequestPipeline.beginShutdown();
        // Other nodes take a moment to receive the leaving state. Calls that they send meanwhile
        // are refused as not run and retried on another node.
        await(LEAVE_NOTICE_MILLIS, () -> false);
        closeCallerConnections();
        mTransport.close();
        mRequestPipeline.goAway();
        await(LEAVE_NOTICE_MILLIS, mRequestPipeline::areCallLinksClosed);
        mEvents.record(Event.of(EventKind.DRAIN_ENDED, null, 0, null));
        mEvents.record(Event.of(EventKind.NODE_STOPPED, null, 0, null));
        stopQuietly("caller server", mCallerServer::stop);
        stopQuietly("admin server", mAdminServer::stop);
        mControlRuntime.close();
        stopQuietly("http client", mHttpClient::stop);
        mPeerThreads.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        mEvents.close();
    }

    /**
     * Closes the server socket for callers, then waits until all of their connections are closed:
     * busy ones after their answer, idle ones after the connector's shutdown idle timeout.
     */
    private void closeCallerConnections() {
        Future<Void> closed = mCallerServer.getConnectors()[0].shutdown();
        boolean drained =
                await(
                        mSettings.drainTimeout().toMillis(),
                        () -> closed.isDone() && mRequestPipeline.isIdle());
        if (!drained) {
            Logger.warn("drain timeout has passed; aborting calls in progress");
        }
    }

    private boolean await(long timeoutMillis, BooleanSupplier condition) {
        long deadlineMillis = mClock.monotonicMillis() + timeoutMillis;
        try {
            while (!condition.getAsBoolean()) {
                if (mClock.monotonicMillis() >= deadlineMillis) {
                    return false;
                }
                Thread.sleep(DRAIN_POLL_MILLIS);
            }
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** A stop method that may throw. */
    private interface StopAction {
        void run() throws Exception;
    }

    private static void stopQuietly(String what, StopAction stop) {
        try {
            stop.run();
        } catch (Exception e) {
            Logger.warn(e, "{} did not stop cleanly", what);
        }
    }
}
