package org.oriolewind.standins;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.BooleanSupplier;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.eclipse.jetty.server.Server;
import org.oriolewind.config.ConfigPublisher;
import org.oriolewind.config.JsonFormat;
import org.oriolewind.config.NoteReader;
import org.oriolewind.node.Node;
import org.oriolewind.node.NodeSettings;
import org.oriolewind.node.SettingName;
import org.oriolewind.node.store.HttpObjectStore;
import org.oriolewind.standins.backend.BackendBehaviour;
import org.oriolewind.standins.backend.BackendHandler;
import org.oriolewind.standins.backend.BackendStandIn;
import org.oriolewind.standins.platform.PlatformStandIn;
import org.oriolewind.time.SystemNodeClock;

/** Runs nodes in the process of the test, with a simulated platform and backend servers. */
final class LocalMesh implements AutoCloseable {
    static final String RELEASE_NOTE =
            """
            {"id": "first",
             "services": {"added": [{"name": "press", "shares": {"v1": 100}}]},
             "routes": {"added": [
               {"name": "print", "path": "/print", "service": "press", "idempotent": false},
               {"name": "lookup", "path": "/lookup", "service": "press", "idempotent": true}]}}
            """;

    private static final long READY_TIMEOUT_MILLIS = 30_000;

    final List<RunningNode> mNodes = new ArrayList<>();
    final HttpClient mClient = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final FreePorts mPorts = new FreePorts();
    private final int mPlatformPort = mPorts.next();
    private final Server mPlatform = PlatformStandIn.start(mPlatformPort);
    private final ScheduledExecutorService mTimer = BackendStandIn.newTimer();
    private final org.eclipse.jetty.client.HttpClient mStoreClient =
            new org.eclipse.jetty.client.HttpClient();

    LocalMesh() throws Exception {
        mStoreClient.start();
        HttpObjectStore store =
                new HttpObjectStore(
                        mStoreClient, "http://127.0.0.1:" + mPlatformPort, Duration.ofSeconds(5));
        new ConfigPublisher(store, new SystemNodeClock())
                .publish(NoteReader.read(RELEASE_NOTE.getBytes(StandardCharsets.UTF_8)));
    }

    /** A node and the backend server beside it. */
    record RunningNode(
            Node node,
            Server backendServer,
            BackendHandler backendHandler,
            int callerPort,
            int peerPort,
            int adminPort) {}

    RunningNode start(String name, BackendBehaviour behaviour) throws Exception {
        return start(name, behaviour, "/dev/null");
    }

    RunningNode start(String name, BackendBehaviour behaviour, String eventFile) throws Exception {
        BackendHandler handler = new BackendHandler(behaviour, mTimer);
        int backendPort = mPorts.next();
        Server backend = BackendStandIn.start(backendPort, handler);
        int callerPort = mPorts.next();
        int peerPort = mPorts.next();
        int adminPort = mPorts.next();
        List<String> flags = new ArrayList<>();
        addFlag(flags, SettingName.NODE, name);
        addFlag(flags, SettingName.DATA_CENTRE, "ikeja");
        addFlag(flags, SettingName.SERVICE, "press");
        addFlag(flags, SettingName.SERVICE_VERSION, "v1");
        addFlag(flags, SettingName.BACKEND_ADDRESS, "127.0.0.1:" + backendPort);
        addFlag(flags, SettingName.CALLER_ADDRESS, "127.0.0.1:" + callerPort);
        addFlag(flags, SettingName.PEER_ADDRESS, "127.0.0.1:" + peerPort);
        addFlag(flags, SettingName.ADMIN_ADDRESS, "127.0.0.1:" + adminPort);
        addFlag(flags, SettingName.PLATFORM_URL, "http://127.0.0.1:" + mPlatformPort);
        addFlag(flags, SettingName.MAX_BODY_BYTES, "4096");
        addFlag(flags, SettingName.MAX_HEADER_BYTES, "2048");
        addFlag(flags, SettingName.EVENT_FILE, eventFile);
        Options options = new Options();
        for (SettingName setting : SettingName.values()) {
            options.addOption(Option.builder().longOpt(setting.flag()).hasArg().get());
        }
        NodeSettings settings =
                NodeSettings.read(
                        new DefaultParser().parse(options, flags.toArray(new String[0])), Map.of());
        Node node = new Node(settings);
        node.start();
        RunningNode running =
                new RunningNode(node, backend, handler, callerPort, peerPort, adminPort);
        mNodes.add(running);
        return running;
    }

    private static void addFlag(List<String> flags, SettingName name, String value) {
        flags.add("--" + name.flag());
        flags.add(value);
    }

    void awaitReady() throws Exception {
        await(() -> mNodes.stream().allMatch(n -> hasStatus(n, "state", "UP", mNodes.size())));
    }

    /** Polls a condition and fails the test if it is not met before the timeout. */
    static void await(BooleanSupplier condition) throws InterruptedException {
        long endNanos = System.nanoTime() + READY_TIMEOUT_MILLIS * 1_000_000L;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > endNanos) {
                throw new AssertionError(
                        "condition not met within " + READY_TIMEOUT_MILLIS + " ms");
            }
            Thread.sleep(20);
        }
    }

    private boolean hasStatus(RunningNode node, String field, String value, int members) {
        try {
            var json = JsonFormat.mapper().readTree(get(node.adminPort(), "/status").body());
            return json.path(field).asText().equals(value)
                    && json.path("members").asInt() == members;
        } catch (Exception e) {
            return false;
        }
    }

    long metric(RunningNode node, String name) throws Exception {
        return JsonFormat.mapper()
                .readTree(get(node.adminPort(), "/metrics").body())
                .path(name)
                .asLong();
    }

    HttpResponse<String> get(int port, String path) throws Exception {
        return send(HttpRequest.newBuilder(uri(port, path)));
    }

    HttpResponse<String> send(HttpRequest.Builder request) throws Exception {
        return mClient.send(
                request.timeout(Duration.ofSeconds(20)).build(),
                HttpResponse.BodyHandlers.ofString());
    }

    static URI uri(int port, String path) {
        return URI.create("http://127.0.0.1:" + port + path);
    }

    @Override
    public void close() throws Exception {
        mNodes.parallelStream().forEach(n -> n.node().close());
        for (RunningNode node : mNodes) {
            node.backendServer().stop();
        }
        mPlatform.stop();
        mStoreClient.stop();
        mTimer.shutdownNow();
    }
}
