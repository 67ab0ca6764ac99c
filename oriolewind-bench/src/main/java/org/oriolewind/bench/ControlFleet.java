package org.oriolewind.bench;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.eclipse.jetty.client.HttpClient;
import org.oriolewind.analysis.EvidenceCollector;
import org.oriolewind.config.InstalledConfig;
import org.oriolewind.control.ControlSettings;
import org.oriolewind.control.ControlStatus;
import org.oriolewind.node.ControlRuntime;
import org.oriolewind.node.call.NodeContext;
import org.oriolewind.node.peer.PeerMetrics;
import org.oriolewind.node.peer.PeerTransport;
import org.oriolewind.node.store.HttpObjectStore;
import org.oriolewind.node.store.RateLimitedStore;
import org.oriolewind.time.HybridClock;
import org.oriolewind.time.NodeClock;
import org.oriolewind.wire.Member;
import org.oriolewind.wire.MemberState;

/**
 * The control planes of many nodes in one process, over real sockets on loopback. They share an
 * event loop group and an HTTP client. Not thread-safe.
 */
final class ControlFleet implements AutoCloseable {
    private static final double PLATFORM_CALLS_PER_SECOND = 10;

    private final EventLoopGroup mGroup;
    private final HttpClient mHttpClient;
    private final String mPlatformUrl;
    private final NodeClock mClock;
    private final List<FleetNode> mRunning = new ArrayList<>();
    private final List<FleetNode> mFrozen = new ArrayList<>();

    ControlFleet(EventLoopGroup group, HttpClient client, String platformUrl, NodeClock clock) {
        mGroup = group;
        mHttpClient = client;
        mPlatformUrl = platformUrl;
        mClock = clock;
    }

    /** The control plane of one node. */
    static final class FleetNode {
        final String mName;
        final String mDataCentre;
        final int mPort;
        final MetricRegistry mRegistry = new MetricRegistry();
        final InstalledConfig mConfig = new InstalledConfig();
        PeerTransport mTransport;
        ControlRuntime mControl;
        volatile ControlStatus mStatus;
        volatile int mLiveMembers;

        FleetNode(String name, String dataCentre, int port) {
            mName = name;
            mDataCentre = dataCentre;
            mPort = port;
        }

        long receivedBytes() {
            return mRegistry.meter("peer.received.bytes").getCount();
        }
    }

    /**
     * Starts a node that listens for peers on a port. Its caller address has the next port, on
     * which nothing listens.
     */
    FleetNode start(String name, String dataCentre, int port, ControlSettings settings)
            throws Exception {
        FleetNode node = new FleetNode(name, dataCentre, port);
        Member self =
                Member.newBuilder()
                        .setNode(name)
                        .setIncarnation(System.nanoTime())
                        .setSequence(1)
                        .setState(MemberState.MEMBER_STATE_UP)
                        .setDataCentre(dataCentre)
                        .setService("holders")
                        .setServiceVersion("v1")
                        .setPeerAddress("127.0.0.1:" + port)
                        .setCallerAddress("127.0.0.1:" + (port + 1))
                        .build();
        node.mTransport = new PeerTransport(mGroup, new PeerMetrics(node.mRegistry));
        NodeContext context =
                new NodeContext(
                        self,
                        mClock,
                        new HybridClock(mClock),
                        node.mConfig,
                        event -> {},
                        node.mRegistry,
                        node.mTransport,
                        mHttpClient);
        RateLimitedStore store =
                new RateLimitedStore(
                        new HttpObjectStore(
                                mHttpClient, mPlatformUrl, java.time.Duration.ofSeconds(3)),
                        mClock,
                        PLATFORM_CALLS_PER_SECOND);
        node.mControl =
                new ControlRuntime(
                        context,
                        settings,
                        store,
                        new EvidenceCollector(),
                        () -> recordStatus(node));
        node.mTransport.listen(new InetSocketAddress("127.0.0.1", port), node.mControl.listener());
        node.mControl.start();
        mRunning.add(node);
        return node;
    }

    private static void recordStatus(FleetNode node) {
        node.mStatus = node.mControl.node().status();
        node.mLiveMembers = node.mControl.node().directory().up("holders", "v1").size();
    }

    void stop(FleetNode node) {
        node.mControl.close();
        node.mTransport.close();
        mRunning.remove(node);
    }

    /** Stops all work of a node but keeps its connections open, like a hung process. */
    void freeze(FleetNode node) {
        node.mControl.freeze();
        mRunning.remove(node);
        mFrozen.add(node);
    }

    List<FleetNode> running() {
        return Collections.unmodifiableList(mRunning);
    }

    boolean allNodesAt(long version) {
        return mRunning.stream().allMatch(n -> n.mConfig.current().version() >= version);
    }

    /**
     * Returns whether the root of every node's control tree is a running lease holder of a data
     * centre and every node sees all running nodes as up.
     */
    boolean settled() {
        for (FleetNode node : mRunning) {
            ControlStatus status = node.mStatus;
            if (status == null || status.path().isEmpty()) {
                return false;
            }
            boolean belowLeader =
                    mRunning.stream()
                            .filter(n -> n.mName.equals(status.path().get(0)))
                            .anyMatch(n -> n.mStatus != null && n.mStatus.lead());
            if (!belowLeader || node.mLiveMembers != mRunning.size()) {
                return false;
            }
        }
        return true;
    }

    long receivedBytes() {
        return mRunning.stream().mapToLong(FleetNode::receivedBytes).sum();
    }

    @Override
    public void close() {
        mRunning.addAll(mFrozen);
        mFrozen.clear();
        for (FleetNode node : new ArrayList<>(mRunning)) {
            stop(node);
        }
    }
}
