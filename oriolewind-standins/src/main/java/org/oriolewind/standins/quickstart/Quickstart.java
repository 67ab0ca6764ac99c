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
import org.oriolewind.standins.backend.BackendBehaviour;
import org.oriolewind.standins.caller.CallCounts;
import org.oriolewind.standins.caller.CallKind;
import org.oriolewind.standins.caller.CallerStandIn;
import org.oriolewind.standins.quickstart.MeshProcesses.NodeProcess;

/**
 * Runs a small mesh on loopback, rolls out a working and a faulty version under load and reports
 * the result of both rollouts. The exit status is 0 only if the working version was rolled out, the
 * faulty one was rolled back, no call that isn't idempotent ran twice, no call was lost, no
 * response or reported outcome was wrong, and the recorded events violate no invariant.
 */
public final class Quickstart {
    private static final int SLOTS = 6;
    private static final int SERVICE_MILLIS = 5;
    private static final int ROLLOUT_DEADLINE_SECONDS = 20;
    private static final long READY_TIMEOUT_MILLIS = 40_000;
    private static final String ROLLOUT_WAIT_SECONDS = "45";

    private final MeshProcesses mMesh;
    private final Path mWorkDir;
    private final CallCounts mLookups = new CallCounts();
    private final CallCounts mPrints = new CallCounts();
    private final CallCounts mProgress = new CallCounts();
    private final AtomicBoolean mCallersRunning = new AtomicBoolean(true);
    private final List<Thread> mCallers = new ArrayList<>();

    private Quickstart(MeshProcesses mesh, Path workDir) {
        mMesh = mesh;
        mWorkDir = workDir;
    }

    /**
     * Runs the quickstart.
     *
     * @param args {@code --keep} keeps the mesh running until the user presses enter
     * @throws Exception if a process can't be started or the mesh is not ready within 40 s
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
        boolean succeeded = new Quickstart(mesh, workDir).run(keep);
        System.out.flush();
        System.exit(succeeded ? 0 : 1);
    }

    private boolean run(boolean keep) throws Exception {
        addNodes();
        mMesh.startPlatformAndBackends();
        publish("first", QuickstartReleaseNotes.initialNote());
        for (NodeProcess node : mMesh.nodes()) {
            mMesh.startNode(node, List.of("--call-event-share", "1"));
        }
        System.out.printf("starting %d nodes in 2 data centres ...%n", mMesh.nodes().size());
        MeshQueries.awaitReady(mMesh.nodes(), READY_TIMEOUT_MILLIS);
        HttpClient client = newClient();
        startCallers(client);
        boolean goodRolledOut = runRollout("good", "holders", "v1", "v2", ExitStatus.OK);
        boolean badRolledBack = runRollout("bad", "press", "v1", "v3", ExitStatus.ROLLED_BACK);
        mCallersRunning.set(false);
        for (Thread caller : mCallers) {
            caller.join();
        }
        client.stop();
        boolean callsClean = reportCalls();
        if (keep) {
            waitForUser();
        }
        mMesh.close();
        boolean invariantsHold = replayEvents();
        System.out.printf(
                "good version %s; bad version %s; calls %s; promises %s%n",
                goodRolledOut ? "took over" : "DID NOT TAKE OVER",
                badRolledBack ? "was taken back" : "WAS NOT TAKEN BACK",
                callsClean ? "are clean" : "ARE NOT CLEAN",
                invariantsHold ? "held" : "BROKEN");
        return goodRolledOut && badRolledBack && callsClean && invariantsHold;
    }

    private void addNodes() throws IOException {
        BackendBehaviour healthy = BackendBehaviour.healthy(SLOTS, SERVICE_MILLIS);
        BackendBehaviour coldStarting = healthy.withColdStart(4000, 3);
        for (String dataCentre : List.of("ikeja", "yaba")) {
            mMesh.addNode(dataCentre + "-holders-1", dataCentre, "holders", "v1", healthy);
            mMesh.addNode(dataCentre + "-holders-2", dataCentre, "holders", "v1", healthy);
            mMesh.addNode(dataCentre + "-press-1", dataCentre, "press", "v1", healthy);
            mMesh.addNode(dataCentre + "-holders-v2", dataCentre, "holders", "v2", coldStarting);
            mMesh.addNode(
                    dataCentre + "-press-v3",
                    dataCentre,
                    "press",
                    "v3",
                    healthy.withFailures("/print", 1.0));
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
        Thread thread = new Thread(() -> caller.run(mCallersRunning::get), "caller-" + name);
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

    /**
     * Publishes a release note with one rollout and waits up to 45 s until it ends.
     *
     * @return whether the command that waits ended with the expected status
     */
    private boolean runRollout(
            String id, String service, String from, String to, ExitStatus expected)
            throws IOException {
        Instant deadline =
                Instant.now().plusSeconds(ROLLOUT_DEADLINE_SECONDS).truncatedTo(ChronoUnit.SECONDS);
        Instant publishedAt = Instant.now();
        publish(id, QuickstartReleaseNotes.rolloutNote(id, service, from, to, deadline));
        long version = latestVersion();
        ExitStatus status = cli("status", "--wait", "--timeout-seconds", ROLLOUT_WAIT_SECONDS, id);
        System.out.printf(
                "note %s ended %.1f s after publication, deadline after %d s; in force on all"
                        + " nodes after %d ms%n",
                id,
                (System.currentTimeMillis() - publishedAt.toEpochMilli()) / 1000.0,
                ROLLOUT_DEADLINE_SECONDS,
                MeshQueries.convergenceMillis(mMesh.eventFiles(), version, publishedAt));
        return status == expected;
    }

    /** Checks the recorded events of all nodes for violated invariants. */
    private boolean replayEvents() {
        List<String> arguments = new ArrayList<>(List.of("replay"));
        mMesh.eventFiles().forEach(file -> arguments.add(file.toString()));
        return cli(arguments.toArray(new String[0])) == ExitStatus.OK;
    }

    /** Returns the version of the configuration in the platform. */
    private long latestVersion() throws IOException {
        return MeshQueries.getJson(mMesh.platformUrl() + "/objects/mesh/config")
                .path("version")
                .asLong();
    }

    private boolean reportCalls() throws IOException {
        Map<String, Integer> runs = MeshQueries.runsByRequestId(mMesh.nodes());
        System.out.printf(
                "%-10s %8s %8s %8s %8s %8s %8s %8s%n",
                "calls", "made", "answered", "errors", "refused", "unknown", "lost", "p99 ms");
        boolean callsClean = reportCallKind("lookup", mLookups, runs, false);
        callsClean &= reportCallKind("print", mPrints, runs, true);
        callsClean &= reportCallKind("progress", mProgress, runs, false);
        return callsClean;
    }

    private static boolean reportCallKind(
            String name, CallCounts counts, Map<String, Integer> runs, boolean singleRunRequired) {
        System.out.printf(
                "%-10s %8d %8d %8d %8d %8d %8d %8.1f%n",
                name,
                counts.made(),
                counts.answered(),
                counts.serverErrors(),
                counts.notRun(),
                counts.unknown(),
                counts.lost(),
                counts.latencyMicros().getValueAtPercentile(99) / 1000.0);
        long ranTwice =
                runs.entrySet().stream()
                        .filter(e -> e.getKey().startsWith(name + "-") && e.getValue() > 1)
                        .count();
        long notRunButRan = counts.notRunIds().stream().filter(runs::containsKey).count();
        long answeredButNotRun =
                counts.answeredIds().stream().filter(id -> !runs.containsKey(id)).count();
        System.out.printf(
                "%-10s ran twice %d; refused as not run but ran %d; answered but never ran %d;"
                        + " wrong answers %d%n",
                "", ranTwice, notRunButRan, answeredButNotRun, counts.wrongAnswers());
        boolean singleRuns = !singleRunRequired || ranTwice == 0;
        return singleRuns
                && notRunButRan == 0
                && answeredButNotRun == 0
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
            Pause.forMillis(Long.MAX_VALUE);
        }
    }
}
