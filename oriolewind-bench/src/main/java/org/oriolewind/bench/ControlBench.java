package org.oriolewind.bench;

import com.sun.management.OperatingSystemMXBean;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.BooleanSupplier;
import org.HdrHistogram.Histogram;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.oriolewind.config.ConfigPublisher;
import org.oriolewind.config.JsonFormat;
import org.oriolewind.config.NoteReader;
import org.oriolewind.control.ControlSettings;
import org.oriolewind.node.store.HttpObjectStore;
import org.oriolewind.platform.MemoryObjectStore;
import org.oriolewind.standins.platform.PlatformStandIn;
import org.oriolewind.time.NodeClock;
import org.oriolewind.time.SystemNodeClock;

/**
 * Measures the control plane of many nodes in one process over real sockets: start, convergence of
 * changes, idle cost, loss of a leader, memory and restart. {@code ControlBench [NODES ...]}. The
 * nodes are spread evenly over four data centres.
 */
public final class ControlBench {
    private static final int PLATFORM_PORT = 10_900;
    private static final int FIRST_PORT = 12_000;
    private static final int DATA_CENTRE_COUNT = 4;
    private static final int CONFIG_CHANGES = 30;
    private static final int IDLE_SECONDS = 20;
    private static final long SETTLE_TIMEOUT_MILLIS = 90_000;
    private static final long CONVERGE_TIMEOUT_MILLIS = 30_000;
    private static final int SERVICE_COUNT = 220;

    private final int mNodeCount;
    private final NodeClock mClock = new SystemNodeClock();
    private final HttpClient mClient = newClient();
    private final String mPlatformUrl = "http://127.0.0.1:" + PLATFORM_PORT;
    private final ConfigPublisher mPublisher =
            new ConfigPublisher(
                    new HttpObjectStore(mClient, mPlatformUrl, java.time.Duration.ofSeconds(5)),
                    mClock);
    private int mPublishedChanges;

    private ControlBench(int nodeCount) {
        mNodeCount = nodeCount;
    }

    /**
     * Runs all measurements for each number of nodes, one number after the other.
     *
     * @param args numbers of nodes; 12, 50, 100 and 200 if empty
     * @throws Exception if a port is in use or the platform stand-in can't be reached
     */
    public static void main(String[] args) throws Exception {
        int[] sizes =
                args.length == 0
                        ? new int[] {12, 50, 100, 200}
                        : Arrays.stream(args).mapToInt(Integer::parseInt).toArray();
        for (int size : sizes) {
            new ControlBench(size).run();
        }
        System.exit(0);
    }

    private static HttpClient newClient() {
        HttpClient client = new HttpClient();
        QueuedThreadPool threads = new QueuedThreadPool(32);
        threads.setDaemon(true);
        client.setExecutor(threads);
        client.setMaxConnectionsPerDestination(2000);
        return client;
    }

    private void run() throws Exception {
        mClient.start();
        Server platform = PlatformStandIn.start(PLATFORM_PORT);
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
        publish(baseReleaseNote());
        try (ControlFleet fleet = new ControlFleet(group, mClient, mPlatformUrl, mClock)) {
            measureStart(fleet, "first start");
            measureConvergence(fleet);
            measureIdle(fleet);
            measureLeaderLoss(fleet, true);
            measureLeaderLoss(fleet, false);
            measureMemory();
            measureRestart(fleet);
        }
        group.shutdownGracefully();
        platform.stop();
        mClient.stop();
    }

    private String baseReleaseNote() {
        StringBuilder services = new StringBuilder();
        StringBuilder routes = new StringBuilder();
        for (int i = 0; i < SERVICE_COUNT; i++) {
            String comma = i == 0 ? "" : ",";
            services.append(comma)
                    .append(
                            String.format(
                                    "{\"name\":\"s%d\",\"shares\":{\"v1\":100,\"v2\":0}}", i));
            routes.append(comma)
                    .append(
                            String.format(
                                    "{\"name\":\"r%d\",\"path\":\"/s%d\",\"service\":\"s%d\","
                                            + "\"idempotent\":true}",
                                    i, i, i));
        }
        return String.format(
                "{\"id\":\"base\",\"services\":{\"added\":[%s]},\"routes\":{\"added\":[%s]}}",
                services, routes);
    }

    private long publish(String note) throws Exception {
        return mPublisher
                .publish(NoteReader.read(note.getBytes(StandardCharsets.UTF_8)))
                .head()
                .config()
                .version();
    }

    private long publishChange() throws Exception {
        int number = mPublishedChanges++;
        return publish(
                String.format(
                        "{\"id\":\"c%d\",\"services\":{\"changed\":[{\"name\":\"s%d\","
                                + "\"shares\":{\"v1\":%d,\"v2\":%d}}]}}",
                        number, number % SERVICE_COUNT, number % 100, 100 - number % 100));
    }

    private void startAll(ControlFleet fleet) throws Exception {
        for (int i = 0; i < mNodeCount; i++) {
            String dataCentre = "dc" + i % DATA_CENTRE_COUNT;
            fleet.start(
                    String.format("%s-n%03d", dataCentre, i),
                    dataCentre,
                    FIRST_PORT + 2 * i,
                    ControlSettings.defaults());
        }
    }

    private MemoryObjectStore.Counts counts() throws Exception {
        byte[] json = mClient.GET(mPlatformUrl + "/counts").getContent();
        return JsonFormat.mapper().readValue(json, MemoryObjectStore.Counts.class);
    }

    /** Polls a condition and returns the time until it held in ms, or -1 after the timeout. */
    private static long await(long timeoutMillis, BooleanSupplier condition)
            throws InterruptedException {
        long startNanos = System.nanoTime();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - startNanos > timeoutMillis * 1_000_000L) {
                return -1;
            }
            Thread.sleep(1);
        }
        return (System.nanoTime() - startNanos) / 1_000_000L;
    }

    private void print(String format, Object... arguments) {
        System.out.printf("%4d nodes  " + format + "%n", prepend(mNodeCount, arguments));
    }

    private static Object[] prepend(Object first, Object[] rest) {
        Object[] all = new Object[rest.length + 1];
        all[0] = first;
        System.arraycopy(rest, 0, all, 1, rest.length);
        return all;
    }

    private void measureStart(ControlFleet fleet, String phase) throws Exception {
        MemoryObjectStore.Counts before = counts();
        CallRateSampler sampler = new CallRateSampler(this::counts);
        sampler.start();
        startAll(fleet);
        long millis = await(SETTLE_TIMEOUT_MILLIS, fleet::settled);
        CallRateSampler.Peak peak = sampler.stop();
        MemoryObjectStore.Counts after = counts();
        print(
                "%s: settled after %d ms; platform reads %d, writes %d, watches %d; peak reads"
                        + " %d/s, writes %d/s",
                phase,
                millis,
                after.reads() - before.reads(),
                after.writes() - before.writes(),
                after.watches() - before.watches(),
                peak.readsPerSecond(),
                peak.writesPerSecond());
    }

    private void measureConvergence(ControlFleet fleet) throws Exception {
        Histogram micros = new Histogram(60_000_000L, 3);
        long bytesBefore = fleet.receivedBytes();
        long startNanos = System.nanoTime();
        for (int i = 0; i < CONFIG_CHANGES; i++) {
            long publishNanos = System.nanoTime();
            long version = publishChange();
            if (await(CONVERGE_TIMEOUT_MILLIS, () -> fleet.allNodesAt(version)) < 0) {
                print("change %d NOT active on all nodes after %d ms", i, CONVERGE_TIMEOUT_MILLIS);
                return;
            }
            micros.recordValue((System.nanoTime() - publishNanos) / 1000);
            Thread.sleep(100);
        }
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        double bytes = fleet.receivedBytes() - bytesBefore;
        print(
                "active on all nodes: median %.1f ms, max %.1f ms; received %.0f bytes per node and"
                        + " change (with heartbeats, %.1f changes/s)",
                micros.getValueAtPercentile(50) / 1000.0,
                micros.getMaxValue() / 1000.0,
                bytes / mNodeCount / CONFIG_CHANGES,
                CONFIG_CHANGES / seconds);
        int headBytes = mClient.GET(mPlatformUrl + "/objects/mesh/config").getContent().length;
        print("head object: %d bytes with %d services", headBytes, SERVICE_COUNT);
    }

    private static double processCpuSeconds() {
        OperatingSystemMXBean system =
                (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        return system.getProcessCpuTime() / 1e9;
    }

    private void measureIdle(ControlFleet fleet) throws Exception {
        Thread.sleep(3000);
        MemoryObjectStore.Counts before = counts();
        long bytesBefore = fleet.receivedBytes();
        long maxBytesBefore = maxReceivedBytes(fleet);
        double cpuBefore = processCpuSeconds();
        Thread.sleep(IDLE_SECONDS * 1000L);
        double cpu = processCpuSeconds() - cpuBefore;
        MemoryObjectStore.Counts after = counts();
        double bytes = fleet.receivedBytes() - bytesBefore;
        print(
                "idle: %.0f bytes received per node and second, %.0f at the busiest node; %.3f%% of"
                        + " a core per node, platform stand-in included; platform reads %.2f/s,"
                        + " writes %.2f/s, watches %.2f/s",
                bytes / mNodeCount / IDLE_SECONDS,
                (maxReceivedBytes(fleet) - maxBytesBefore) / (double) IDLE_SECONDS,
                cpu / IDLE_SECONDS / mNodeCount * 100,
                (after.reads() - before.reads() - 1) / (double) IDLE_SECONDS,
                (after.writes() - before.writes()) / (double) IDLE_SECONDS,
                (after.watches() - before.watches()) / (double) IDLE_SECONDS);
    }

    private static long maxReceivedBytes(ControlFleet fleet) {
        return fleet.running().stream()
                .mapToLong(ControlFleet.FleetNode::receivedBytes)
                .max()
                .orElse(0);
    }

    private void measureLeaderLoss(ControlFleet fleet, boolean killed) throws Exception {
        ControlFleet.FleetNode leader =
                fleet.running().stream().filter(n -> n.mStatus.lead()).findFirst().orElseThrow();
        String dataCentre = leader.mDataCentre;
        if (killed) {
            fleet.stop(leader);
        } else {
            fleet.freeze(leader);
        }
        long startNanos = System.nanoTime();
        long version = publishChange();
        long convergedMillis = await(CONVERGE_TIMEOUT_MILLIS, () -> fleet.allNodesAt(version));
        await(
                SETTLE_TIMEOUT_MILLIS,
                () ->
                        fleet.running().stream()
                                .anyMatch(
                                        n -> n.mDataCentre.equals(dataCentre) && n.mStatus.lead()));
        long electedMillis = (System.nanoTime() - startNanos) / 1_000_000L;
        await(SETTLE_TIMEOUT_MILLIS, fleet::settled);
        print(
                "leader %s: change published at once active on all nodes after %d ms; new leader"
                        + " after %d ms; tree rebuilt after %d ms",
                killed ? "killed" : "hung",
                convergedMillis,
                electedMillis,
                (System.nanoTime() - startNanos) / 1_000_000L);
    }

    private void measureMemory() {
        System.gc();
        long used = ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
        print(
                "heap in use after collection: %d kB, all nodes and the platform stand-in",
                used / 1024);
    }

    private void measureRestart(ControlFleet fleet) throws Exception {
        fleet.close();
        Thread.sleep(500);
        measureStart(fleet, "restart of all nodes");
    }
}
