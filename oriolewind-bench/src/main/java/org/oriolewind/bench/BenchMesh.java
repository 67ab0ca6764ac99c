package org.oriolewind.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.oriolewind.cli.ExitStatus;
import org.oriolewind.cli.Oriolewind;
import org.oriolewind.standins.backend.BackendBehaviour;
import org.oriolewind.standins.caller.CallCounts;
import org.oriolewind.standins.caller.CallKind;
import org.oriolewind.standins.caller.CallerStandIn;
import org.oriolewind.standins.quickstart.MeshProcesses;
import org.oriolewind.standins.quickstart.MeshProcesses.NodeProcess;
import org.oriolewind.standins.quickstart.MeshQueries;

/**
 * A mesh of real processes on this machine, put under load in phases. Not thread-safe, except that
 * {@link #load}, {@link #runCli}, {@link #nodes} and {@link #process} may be called on other
 * threads while no thread starts or restarts nodes.
 */
final class BenchMesh implements AutoCloseable {
    private static final long READY_TIMEOUT_MILLIS = 60_000;

    private final Path mWorkDir = Files.createTempDirectory("oriolewind-bench");
    private final MeshProcesses mMesh =
            new MeshProcesses(Path.of(System.getProperty("oriolewind.home", ".")), mWorkDir);
    private final Map<String, Process> mProcesses = new java.util.HashMap<>();
    private final HttpClient mClient = newClient();

    BenchMesh() throws Exception {
        mClient.start();
    }

    private static HttpClient newClient() {
        HttpClient client = new HttpClient();
        QueuedThreadPool threads = new QueuedThreadPool(24);
        threads.setDaemon(true);
        client.setExecutor(threads);
        client.setMaxConnectionsPerDestination(128);
        return client;
    }

    void addNode(String name, String dataCentre, String service, BackendBehaviour behaviour)
            throws IOException {
        mMesh.addNode(name, dataCentre, service, "v1", behaviour);
    }

    List<NodeProcess> nodes() {
        return mMesh.nodes();
    }

    HttpClient client() {
        return mClient;
    }

    Process process(String node) {
        return mProcesses.get(node);
    }

    /**
     * Starts the platform and the backend servers, publishes the note, starts all nodes with the
     * same flags and waits up to 60 s until all are ready.
     */
    void start(String releaseNote, List<String> flags) throws IOException {
        mMesh.startPlatformAndBackends();
        Path file = mWorkDir.resolve("first.json");
        Files.writeString(file, releaseNote);
        runCli("publish", file.toString());
        for (NodeProcess node : mMesh.nodes()) {
            mProcesses.put(node.name(), mMesh.startNode(node, flags));
        }
        MeshQueries.awaitReady(mMesh.nodes(), READY_TIMEOUT_MILLIS);
    }

    Process restart(NodeProcess node) throws IOException {
        Process process = mMesh.startNode(node, List.of());
        mProcesses.put(node.name(), process);
        return process;
    }

    /**
     * Runs a command of {@code oriolewind} in the calling thread.
     *
     * @throws IOException if its exit status is not {@link ExitStatus#OK}
     */
    void runCli(String... args) throws IOException {
        ExitStatus status =
                Oriolewind.run(
                        args,
                        Map.of("ORIOLEWIND_PLATFORM_URL", mMesh.platformUrl()),
                        System.out,
                        System.err);
        if (status != ExitStatus.OK) {
            throw new IOException(String.join(" ", args) + ": " + status);
        }
    }

    /**
     * Makes calls of all kinds at the same time, one thread per kind, and blocks until they have
     * ended.
     *
     * @return the outcomes, in the order of the kinds
     */
    List<CallCounts> load(String phase, double seconds, List<String> urls, List<CallKind> kinds)
            throws InterruptedException {
        AtomicBoolean running = new AtomicBoolean(true);
        List<CallCounts> counts = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (CallKind kind : kinds) {
            CallCounts kindCounts = new CallCounts();
            String name = phase + "-" + kind.method() + "-" + counts.size();
            CallerStandIn caller = new CallerStandIn(mClient, name, urls, kind, kindCounts);
            Thread thread = new Thread(() -> caller.run(running::get), name);
            counts.add(kindCounts);
            threads.add(thread);
            thread.start();
        }
        Thread.sleep((long) (seconds * 1000));
        running.set(false);
        for (Thread thread : threads) {
            thread.join();
        }
        return counts;
    }

    static void print(String phase, CallKind kind, CallCounts counts) {
        System.out.printf(
                "%-22s %-5s made %6d answered %7.3f%% errors %3d refused %4d unknown %3d lost %3d"
                        + " wrong %d  median %6.2f ms p99 %7.2f ms%n",
                phase,
                kind.method(),
                counts.made(),
                100.0 * counts.answered() / Math.max(1, counts.made()),
                counts.serverErrors(),
                counts.notRun(),
                counts.unknown(),
                counts.lost(),
                counts.wrongAnswers(),
                counts.latencyMicros().getValueAtPercentile(50) / 1000.0,
                counts.latencyMicros().getValueAtPercentile(99) / 1000.0);
    }

    /**
     * Prints how many calls violated at-most-once execution: POST calls that ran more than once, on
     * one or several backend servers, and calls that ran although their caller was told that they
     * had not.
     */
    void printAtMostOnceViolations(List<CallCounts> atMostOnceCounts) throws IOException {
        Map<String, Integer> runs = MeshQueries.runsByRequestId(mMesh.nodes());
        long ranTwice =
                runs.entrySet().stream()
                        .filter(e -> e.getKey().contains("-POST-") && e.getValue() > 1)
                        .count();
        long ranDespiteRefusal =
                atMostOnceCounts.stream()
                        .flatMap(c -> c.notRunIds().stream())
                        .filter(runs::containsKey)
                        .count();
        System.out.printf(
                "calls run more than once %d; refused as not run but ran %d%n",
                ranTwice, ranDespiteRefusal);
    }

    @Override
    public void close() throws Exception {
        mMesh.close();
        mClient.stop();
    }
}
