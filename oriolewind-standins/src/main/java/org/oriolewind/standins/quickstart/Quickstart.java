package org.oriolewind.standins.quickstart;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.oriolewind.cli.ExitStatus;
import org.oriolewind.cli.Oriolewind;
import org.oriolewind.standins.backend.Behaviour;
import org.oriolewind.standins.caller.CallCounts;
import org.oriolewind.standins.caller.CallKind;
import org.oriolewind.standins.caller.CallerStandIn;
import org.oriolewind.standins.quickstart.MeshProcesses.NodeProcess;

/**
 * Runs a small mesh on loopback: publishes a good note and a bad one while callers call, and tells
 * what became of both. Exit status 0 only if the good version took over, the bad one was taken
 * back, nothing ran twice and no accepted call was lost.
 */
public final class Quickstart {
    private static final int SLOTS = 6;
    private static final int SERVICE_MILLIS = 5;
    private static final int DEADLINE_SECONDS = 20;
    private static final long READY_TIMEOUT_MILLIS = 40_000;
    private static final String WAIT_SECONDS = "45";

    private final MeshProcesses mMesh;
    private final Path mWorkDir;
    private final CallCounts mLookups = new CallCounts();
    private final CallCounts mPrints = new CallCounts();
    private final CallCounts mProgress = new CallCounts();
    private final AtomicBoolean mCalling = new AtomicBoolean(true);
    private final List<Thread> mCallers = new ArrayList<>();

    private Quickstart(MeshProcesses mesh, Path workDir) {
        mMesh = mesh;
        mWorkDir = workDir;
    }

    /**
     * Runs the quickstart.
     *
     * @param args {@code --keep} leaves the mesh running
     * @throws Exception if a process can't be started
     */
    public static void main(String[] args) throws Exception {
        List<String> unknown = new ArrayList<>(Arrays.asList(args));
        boolean keep = unknown.remove("--keep");
        if (!unknown.isEmpty()) {
            System.err.println("usage: bin/quickstart [--keep]");
            System.exit(ExitStatus.BAD_INPUT.code());
        }
        Path home = Path.of(System.getProperty("oriolewind.home", "."));
        Path workDir = Files.createTempDirectory("oriolewind-quickstart");
        MeshProcesses mesh = new MeshProcesses(home, workDir);
        Runtime.getRuntime().addShutdownHook(new Thread(mesh::close));
        boolean good = new Quickstart(mesh, workDir).run(keep);
        System.out.flush();
        System.exit(good ? 0 : 1);
    }

    private boolean run(boolean keep) throws Exception {
        addNodes();
        mMesh.startSurroundings();
        publish("first", QuickstartNotes.first());
        for (NodeProcess node : mMesh.nodes()) {
            mMesh.startNode(node, List.of("--call-event-share", "1"));
        }
        System.out.printf("starting %d nodes in 2 data centres ...%n", mMesh.nodes().size());
        MeshQueries.awaitReady(mMesh.nodes(), READY_TIMEOUT_MILLIS);
        HttpClient client = newClient();
        startCallers(client);
        boolean moved = move("good", "holders", "v1", "v2", ExitStatus.OK);
        boolean takenBack = move("bad", "press", "v1", "v3", ExitStatus.TAKEN_BACK);
        mCalling.set(false);
        for (Thread caller : mCallers) {
            caller.join();
        }
        client.stop();
        boolean clean = report();
        if (keep) {
            waitForUser();
        }
        mMesh.close();
        boolean held = replay();
        System.out.printf(
                "good version %s; bad version %s; calls %s; promises %s%n",
                moved ? "took over" : "DID NOT TAKE OVER",
                takenBack ? "was taken back" : "WAS NOT TAKEN BACK",
                clean ? "are clean" : "ARE NOT CLEAN",
                held ? "held" : "BROKEN");
        return moved && takenBack && clean && held;
    }

    private void addNodes() throws IOException {
        Behaviour good = Behaviour.good(SLOTS, SERVICE_MILLIS);
        Behaviour starting = good.cold(4000, 3);
        for (String dataCentre : List.of("ikeja", "yaba")) {
            mMesh.addNode(dataCentre + "-holders-1", dataCentre, "holders", "v1", good);
            mMesh.addNode(dataCentre + "-holders-2", dataCentre, "holders", "v1", good);
            mMesh.addNode(dataCentre + "-press-1", dataCentre, "press", "v1", good);
            mMesh.addNode(dataCentre + "-holders-v2", dataCentre, "holders", "v2", starting);
            mMesh.addNode(
                    dataCentre + "-press-v3",
                    dataCentre,
                    "press",
                    "v3",
                    good.failing("/print", 1.0));
        }
    }

    private static HttpClient newClient() throws Exception {
        HttpClient client = new HttpClient();
        QueuedThreadPool threads = new QueuedThreadPool(16);
        threads.setDaemon(true);
        client.setExecutor(threads);
        client.setMaxConnectionsPerDestination(64);
        client.start();
        return client;
    }

    private void startCallers(HttpClient client) {
        List<String> urls = mMesh.nodes().stream().map(NodeProcess::callerUrl).toList();
        startCaller(client, "lookup", urls, new CallKind("GET", "/holders/1", 250, true), mLookups);
        startCaller(client, "print", urls, new CallKind("POST", "/print", 60, false), mPrints);
        startCaller(
                client, "progress", urls, new CallKind("GET", "/progress/1", 60, true), mProgress);
    }

    private void startCaller(
            HttpClient client, String name, List<String> urls, CallKind kind, CallCounts counts) {
        CallerStandIn caller = new CallerStandIn(client, name, urls, kind, counts);
        Thread thread = new Thread(() -> caller.run(mCalling::get), "caller-" + name);
        thread.start();
        mCallers.add(thread);
    }

    private ExitStatus cli(String... args) {
        return Oriolewind.run(
                args,
                Map.of("ORIOLEWIND_PLATFORM_URL", mMesh.platformUrl()),
                System.out,
                System.err);
    }

    private void publish(String id, String json) throws IOException {
        Path file = mWorkDir.resolve(id + ".json");
        Files.writeString(file, json);
        ExitStatus status = cli("publish", file.toString());
        if (status != ExitStatus.OK) {
            throw new IOException("note " + id + " was not published: " + status);
        }
    }

    /** Publishes a move and waits for its end. */
    private boolean move(String id, String service, String from, String to, ExitStatus expected)
            throws IOException {
        Instant by = Instant.now().plusSeconds(DEADLINE_SECONDS).truncatedTo(ChronoUnit.SECONDS);
        Instant publishedAt = Instant.now();
        publish(id, QuickstartNotes.move(id, service, from, to, by));
        long version = latestVersion();
        ExitStatus status = cli("status", "--wait", "--timeout-seconds", WAIT_SECONDS, id);
        System.out.printf(
                "note %s ended %.1f s after publication, deadline after %d s; in force on all"
                        + " nodes after %d ms%n",
                id,
                (System.currentTimeMillis() - publishedAt.toEpochMilli()) / 1000.0,
                DEADLINE_SECONDS,
                MeshQueries.convergenceMillis(mMesh.eventFiles(), version, publishedAt));
        return status == expected;
    }

    /** Checks the events of all nodes against what must always hold. */
    private boolean replay() {
        List<String> arguments = new ArrayList<>(List.of("replay"));
        mMesh.eventFiles().forEach(file -> arguments.add(file.toString()));
        return cli(arguments.toArray(new String[0])) == ExitStatus.OK;
    }

    /** Returns the version of the latest note, read back from the platform. */
    private long latestVersion() throws IOException {
        return MeshQueries.getJson(mMesh.platformUrl() + "/objects/mesh/config")
                .path("version")
                .asLong();
    }

    private boolean report() throws IOException {
        Map<String, Integer> runs = MeshQueries.runs(mMesh.nodes());
        System.out.printf(
                "%-10s %8s %8s %8s %8s %8s %8s %8s%n",
                "calls", "made", "answered", "errors", "refused", "unknown", "lost", "p99 ms");
        boolean clean = reportKind("lookup", mLookups, runs, false);
        clean &= reportKind("print", mPrints, runs, true);
        clean &= reportKind("progress", mProgress, runs, false);
        return clean;
    }

    private static boolean reportKind(
            String name, CallCounts counts, Map<String, Integer> runs, boolean onlyOnce) {
        System.out.printf(
                "%-10s %8d %8d %8d %8d %8d %8d %8.1f%n",
                name,
                counts.made(),
                counts.answered(),
                counts.serverErrors(),
                counts.notRun(),
                counts.unknown(),
                counts.lost(),
                counts.micros().getValueAtPercentile(99) / 1000.0);
        long doubled =
                runs.entrySet().stream()
                        .filter(e -> e.getKey().startsWith(name + "-") && e.getValue() > 1)
                        .count();
        long untrue = counts.notRunIds().stream().filter(runs::containsKey).count();
        long neverRun = counts.answeredIds().stream().filter(id -> !runs.containsKey(id)).count();
        System.out.printf(
                "%-10s ran twice %d; refused as not run but ran %d; answered but never ran %d;"
                        + " wrong answers %d%n",
                "", doubled, untrue, neverRun, counts.wrongAnswers());
        boolean once = !onlyOnce || doubled == 0;
        return once
                && untrue == 0
                && neverRun == 0
                && counts.lost() == 0
                && counts.wrongAnswers() == 0;
    }

    private void waitForUser() throws IOException {
        String url = mMesh.platformUrl();
        System.out.println("the mesh is running; events and logs are in " + mWorkDir);
        System.out.println("try, in another shell:");
        System.out.println("  export ORIOLEWIND_PLATFORM_URL=" + url);
        System.out.println("  bin/oriolewind nodes");
        System.out.println("  bin/oriolewind status");
        System.out.println("  bin/oriolewind data-centre out ikeja");
        System.out.println("  bin/oriolewind timeline --note good " + mWorkDir + "/*.jsonl");
        System.out.println("  curl -i " + mMesh.nodes().get(0).callerUrl() + "/holders/1");
        System.out.println("press enter to end it");
        int read = System.in.read();
        if (read < 0) {
            Pause.millis(Long.MAX_VALUE);
        }
    }
}
