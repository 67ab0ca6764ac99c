package org.oriolewind.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.oriolewind.standins.backend.BackendBehaviour;
import org.oriolewind.standins.caller.CallCounts;
import org.oriolewind.standins.caller.CallKind;
import org.oriolewind.standins.quickstart.MeshProcesses.NodeProcess;
import org.oriolewind.standins.quickstart.MeshQueries;

/**
 * Measures the request path with real processes, one scenario per run: {@code RequestBench
 * latency}, {@code data-centre}, {@code kill}, {@code cold}, {@code drain} or {@code idle}.
 */
public final class RequestBench {
    private static final String RELEASE_NOTE =
            """
            {"id": "first",
             "services": {"added": [{"name": "registry", "shares": {"v1": 100}},
                                    {"name": "press", "shares": {"v1": 100}}]},
             "routes": {"added": [
               {"name": "lookup", "path": "/lookup", "service": "registry", "idempotent": true},
               {"name": "print", "path": "/print", "service": "press", "idempotent": false}]}}
            """;
    private static final List<String> DATA_CENTRES = List.of("ikeja", "yaba", "surulere", "agege");
    private static final int SLOTS = 6;
    private static final int SERVICE_MILLIS = 20;
    private static final double WARM_UP_SECONDS = 12;

    private RequestBench() {}

    /** A scenario; its name in lower case with dashes is the argument of the program. */
    private enum Scenario {
        LATENCY {
            @Override
            void run(BenchMesh mesh) throws Exception {
                latency(mesh);
            }
        },
        DATA_CENTRE {
            @Override
            void run(BenchMesh mesh) throws Exception {
                dataCentre(mesh);
            }
        },
        KILL {
            @Override
            void run(BenchMesh mesh) throws Exception {
                kill(mesh);
            }
        },
        COLD {
            @Override
            void run(BenchMesh mesh) throws Exception {
                cold(mesh);
            }
        },
        IDLE {
            @Override
            void run(BenchMesh mesh) throws Exception {
                idle(mesh);
            }
        },
        DRAIN {
            @Override
            void run(BenchMesh mesh) throws Exception {
                drain(mesh);
            }
        };

        abstract void run(BenchMesh mesh) throws Exception;
    }

    /**
     * Runs one scenario and exits.
     *
     * @param args the name of the scenario
     * @throws Exception if the scenario is unknown, or a process can't be started or isn't ready in
     *     time
     */
    public static void main(String[] args) throws Exception {
        String name = args[0].toUpperCase(Locale.ROOT).replace('-', '_');
        try (BenchMesh mesh = new BenchMesh()) {
            Scenario.valueOf(name).run(mesh);
        }
        System.exit(0);
    }

    private static List<String> callerUrls(BenchMesh mesh) {
        return mesh.nodes().stream().map(NodeProcess::callerUrl).toList();
    }

    /**
     * Compares calls through two nodes with direct calls to the backend servers, made at the same
     * time and rate.
     */
    private static void latency(BenchMesh mesh) throws Exception {
        BackendBehaviour behaviour = BackendBehaviour.healthy(64, 2);
        mesh.addNode("a-registry", "ikeja", "registry", behaviour);
        mesh.addNode("b-registry", "ikeja", "registry", behaviour);
        mesh.addNode("c-press", "ikeja", "press", behaviour);
        mesh.start(RELEASE_NOTE, List.of("--gate-initial-limit", "32"));
        List<String> entryUrls = List.of(mesh.nodes().get(2).callerUrl());
        List<String> directUrls =
                mesh.nodes().subList(0, 2).stream().map(NodeProcess::backendUrl).toList();
        for (double rate : new double[] {200, 200, 500, 1000}) {
            CallKind kind = new CallKind("GET", "/lookup", rate, true);
            double cpuBefore = cpuSeconds(mesh);
            LoadThread meshLoad = new LoadThread(mesh, "nodes" + rate, entryUrls, kind);
            LoadThread directLoad = new LoadThread(mesh, "direct" + rate, directUrls, kind);
            CallCounts meshCounts = meshLoad.await();
            CallCounts directCounts = directLoad.await();
            double cpu = cpuSeconds(mesh) - cpuBefore;
            BenchMesh.print("direct " + rate + "/s", kind, directCounts);
            BenchMesh.print("two nodes " + rate + "/s", kind, meshCounts);
            System.out.printf(
                    "added: median %.2f ms, p99 %.2f ms; CPU time %.0f us per call over its two"
                            + " nodes%n",
                    (meshCounts.latencyMicros().getValueAtPercentile(50)
                                    - directCounts.latencyMicros().getValueAtPercentile(50))
                            / 1000.0,
                    (meshCounts.latencyMicros().getValueAtPercentile(99)
                                    - directCounts.latencyMicros().getValueAtPercentile(99))
                            / 1000.0,
                    cpu * 1e6 / meshCounts.made());
        }
    }

    private static double cpuSeconds(BenchMesh mesh) {
        return mesh.nodes().stream()
                .map(node -> mesh.process(node.name()).info().totalCpuDuration())
                .mapToDouble(d -> d.orElseThrow().toMillis() / 1000.0)
                .sum();
    }

    /** Makes calls of one kind for 15 seconds on a thread of its own. */
    private static final class LoadThread {
        private final Thread mThread;
        private volatile CallCounts mCounts;

        LoadThread(BenchMesh mesh, String name, List<String> urls, CallKind kind) {
            mThread =
                    new Thread(
                            () -> {
                                try {
                                    mCounts = mesh.load(name, 15, urls, List.of(kind)).get(0);
                                } catch (InterruptedException e) {
                                    Thread.currentThread().interrupt();
                                }
                            });
            mThread.start();
        }

        CallCounts await() throws InterruptedException {
            mThread.join();
            return mCounts;
        }
    }

    private static void addNodesInAllDataCentres(BenchMesh mesh) throws IOException {
        BackendBehaviour behaviour = BackendBehaviour.healthy(SLOTS, SERVICE_MILLIS);
        for (String dataCentre : DATA_CENTRES) {
            mesh.addNode(dataCentre + "-registry", dataCentre, "registry", behaviour);
            mesh.addNode(dataCentre + "-press", dataCentre, "press", behaviour);
        }
    }

    /** Returns lookups and prints, each at a share of the capacity of four backend servers. */
    private static List<CallKind> loadAtCapacityShare(double share) {
        double capacity = DATA_CENTRES.size() * SLOTS * 1000.0 / SERVICE_MILLIS;
        return List.of(
                new CallKind("GET", "/lookup", capacity * share, true),
                new CallKind("POST", "/print", capacity * share, false));
    }

    /** Makes calls for some time, prints their outcomes and adds those of the POST calls. */
    private static void phase(
            BenchMesh mesh,
            String name,
            double seconds,
            List<String> urls,
            List<CallKind> kinds,
            List<CallCounts> postCounts)
            throws InterruptedException {
        List<CallCounts> counts = mesh.load(name, seconds, urls, kinds);
        for (int i = 0; i < kinds.size(); i++) {
            BenchMesh.print(name, kinds.get(i), counts.get(i));
        }
        postCounts.add(counts.get(1));
    }

    /** Takes one of four data centres out of service under load, and back in. */
    private static void dataCentre(BenchMesh mesh) throws Exception {
        addNodesInAllDataCentres(mesh);
        mesh.start(RELEASE_NOTE, List.of());
        List<CallKind> kinds = loadAtCapacityShare(0.6);
        List<CallCounts> postCounts = new ArrayList<>();
        List<String> urls = callerUrls(mesh);
        phase(mesh, "warm-up", WARM_UP_SECONDS, urls, kinds, postCounts);
        phase(mesh, "before", 10, urls, kinds, postCounts);
        Thread out = startDataCentreCommand(mesh, "out");
        phase(mesh, "out", 10, urls, kinds, postCounts);
        out.join();
        phase(mesh, "while out", 10, urls, kinds, postCounts);
        Thread in = startDataCentreCommand(mesh, "in");
        phase(mesh, "back", 10, urls, kinds, postCounts);
        in.join();
        phase(mesh, "after", 10, urls, kinds, postCounts);
        mesh.printAtMostOnceViolations(postCounts);
    }

    /**
     * Takes a data centre out of service or back in, two seconds into a phase, and prints when
     * calls stop or start there.
     */
    private static Thread startDataCentreCommand(BenchMesh mesh, String direction) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                Thread.sleep(2000);
                                mesh.runCli("data-centre", direction, "yaba");
                                printRunRates(mesh, "yaba");
                            } catch (Exception e) {
                                System.out.println(e);
                            }
                        });
        thread.start();
        return thread;
    }

    private static void printRunRates(BenchMesh mesh, String dataCentre) throws Exception {
        StringBuilder line = new StringBuilder("runs in " + dataCentre + " per 200 ms:");
        long last = runs(mesh, dataCentre);
        for (int i = 0; i < 20; i++) {
            Thread.sleep(200);
            long now = runs(mesh, dataCentre);
            line.append(' ').append(now - last);
            last = now;
        }
        System.out.println(line);
    }

    private static long runs(BenchMesh mesh, String dataCentre) throws IOException {
        long runs = 0;
        for (NodeProcess node : mesh.nodes()) {
            if (node.dataCentre().equals(dataCentre)) {
                runs +=
                        MeshQueries.getJson(node.backendUrl() + "/control/total")
                                .path("runs")
                                .asLong();
            }
        }
        return runs;
    }

    /**
     * Kills a third of the nodes under load: one of each service in two of three data centres. The
     * backend servers beside them keep running.
     */
    private static void kill(BenchMesh mesh) throws Exception {
        BackendBehaviour behaviour = BackendBehaviour.healthy(SLOTS, SERVICE_MILLIS);
        for (String dataCentre : DATA_CENTRES.subList(0, 3)) {
            for (int i = 0; i < 2; i++) {
                mesh.addNode(dataCentre + "-registry-" + i, dataCentre, "registry", behaviour);
                mesh.addNode(dataCentre + "-press-" + i, dataCentre, "press", behaviour);
            }
        }
        mesh.start(RELEASE_NOTE, List.of());
        List<CallKind> kinds = loadAtCapacityShare(0.5);
        List<CallCounts> postCounts = new ArrayList<>();
        // Callers use only surviving nodes; those of a killed node would see a refused connection.
        List<String> urls =
                mesh.nodes().stream()
                        .filter(node -> node.name().endsWith("0"))
                        .map(NodeProcess::callerUrl)
                        .toList();
        phase(mesh, "warm-up", WARM_UP_SECONDS, urls, kinds, postCounts);
        phase(mesh, "before", 10, urls, kinds, postCounts);
        Thread killer =
                new Thread(
                        () -> {
                            sleep(2000);
                            mesh.nodes().stream()
                                    .filter(node -> node.name().endsWith("1"))
                                    .filter(node -> !node.dataCentre().equals("surulere"))
                                    .forEach(n -> mesh.process(n.name()).destroyForcibly());
                        });
        killer.start();
        phase(mesh, "third killed", 10, urls, kinds, postCounts);
        phase(mesh, "without a third", 10, urls, kinds, postCounts);
        mesh.printAtMostOnceViolations(postCounts);
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Begins another cold start of one of four backend servers of a service, under load. */
    private static void cold(BenchMesh mesh) throws Exception {
        BackendBehaviour warm = BackendBehaviour.healthy(SLOTS, SERVICE_MILLIS);
        for (String dataCentre : DATA_CENTRES) {
            mesh.addNode(
                    dataCentre + "-registry",
                    dataCentre,
                    "registry",
                    warm.withColdStart(10_000, 4));
            mesh.addNode(dataCentre + "-press", dataCentre, "press", warm);
        }
        mesh.start(RELEASE_NOTE, List.of());
        List<CallKind> kinds = loadAtCapacityShare(0.5);
        List<CallCounts> postCounts = new ArrayList<>();
        List<String> urls = callerUrls(mesh);
        phase(mesh, "warm-up", WARM_UP_SECONDS, urls, kinds, postCounts);
        phase(mesh, "before", 10, urls, kinds, postCounts);
        NodeProcess restarted = mesh.nodes().get(0);
        mesh.client().POST(restarted.backendUrl() + "/control/restart").send();
        phase(mesh, "one of four cold again", 10, urls, kinds, postCounts);
        phase(mesh, "after", 10, urls, kinds, postCounts);
        mesh.printAtMostOnceViolations(postCounts);
    }

    /** Measures CPU time and memory of idle nodes, and their memory after some load. */
    private static void idle(BenchMesh mesh) throws Exception {
        addNodesInAllDataCentres(mesh);
        mesh.start(RELEASE_NOTE, List.of());
        Thread.sleep(10_000);
        double cpuBefore = cpuSeconds(mesh);
        Thread.sleep(30_000);
        double cpu = (cpuSeconds(mesh) - cpuBefore) / 30 / mesh.nodes().size();
        System.out.printf("idle: %.2f%% of a core per node%n", cpu * 100);
        printResidentMemory(mesh, "idle");
        phase(mesh, "load", 15, callerUrls(mesh), loadAtCapacityShare(0.3), new ArrayList<>());
        printResidentMemory(mesh, "after load");
    }

    private static void printResidentMemory(BenchMesh mesh, String when) throws IOException {
        long sumKilobytes = 0;
        long maxKilobytes = 0;
        for (NodeProcess node : mesh.nodes()) {
            long kilobytes = residentKilobytes(mesh.process(node.name()).pid());
            sumKilobytes += kilobytes;
            maxKilobytes = Math.max(maxKilobytes, kilobytes);
        }
        System.out.printf(
                "%s: resident memory %d kB per node, %d kB at most%n",
                when, sumKilobytes / mesh.nodes().size(), maxKilobytes);
    }

    private static long residentKilobytes(long pid) throws IOException {
        return Files.readAllLines(Path.of("/proc/" + pid + "/status")).stream()
                .filter(line -> line.startsWith("VmRSS:"))
                .map(line -> line.replaceAll("[^0-9]", ""))
                .mapToLong(Long::parseLong)
                .findFirst()
                .orElse(0);
    }

    /** Terminates both nodes of one data centre gracefully under load, two seconds apart. */
    private static void drain(BenchMesh mesh) throws Exception {
        addNodesInAllDataCentres(mesh);
        mesh.start(RELEASE_NOTE, List.of());
        List<CallKind> kinds = loadAtCapacityShare(0.5);
        List<CallCounts> postCounts = new ArrayList<>();
        List<String> urls =
                mesh.nodes().stream()
                        .filter(node -> !node.dataCentre().equals("agege"))
                        .map(NodeProcess::callerUrl)
                        .toList();
        phase(mesh, "warm-up", WARM_UP_SECONDS, urls, kinds, postCounts);
        phase(mesh, "before", 10, urls, kinds, postCounts);
        Thread stopper =
                new Thread(
                        () -> {
                            sleep(2000);
                            mesh.process("agege-press").destroy();
                            sleep(2000);
                            mesh.process("agege-registry").destroy();
                        });
        stopper.start();
        phase(mesh, "two nodes stop", 10, urls, kinds, postCounts);
        mesh.printAtMostOnceViolations(postCounts);
    }
}
