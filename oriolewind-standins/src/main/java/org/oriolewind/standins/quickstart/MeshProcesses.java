package org.oriolewind.standins.quickstart;

import java.io.File;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.oriolewind.config.JsonFormat;
import org.oriolewind.standins.FreePorts;
import org.oriolewind.standins.backend.BackendBehaviour;
import org.oriolewind.standins.backend.BackendStandIn;
import org.oriolewind.standins.platform.PlatformStandIn;

/**
 * Starts the processes of a small mesh on loopback, on ports that were free when they were
 * allocated, and terminates them in {@link #close()}. Not thread-safe.
 */
public final class MeshProcesses implements AutoCloseable {
    private static final long START_TIMEOUT_MILLIS = 30_000;
    private static final String LOOPBACK = "127.0.0.1";

    private final Path mHome;
    private final Path mWorkDir;
    private final List<Process> mProcesses = new ArrayList<>();
    private final List<NodeProcess> mNodes = new ArrayList<>();
    private final FreePorts mPorts = new FreePorts();
    private final int mPlatformPort;

    /**
     * A node and the backend server beside it.
     *
     * @param name the node's name, unique in the mesh
     * @param dataCentre the data centre of both
     * @param service the service of the backend server
     * @param version the version of the backend server
     * @param behaviour capacity and faults of the backend server
     * @param backendPort port on which the backend server listens
     * @param callerPort port on which the node listens for callers
     * @param peerPort port on which the node listens for other nodes
     * @param adminPort port on which the node serves status and metrics
     */
    public record NodeProcess(
            String name,
            String dataCentre,
            String service,
            String version,
            BackendBehaviour behaviour,
            int backendPort,
            int callerPort,
            int peerPort,
            int adminPort) {
        /** Returns the node's base URL for callers, without a trailing slash. */
        public String callerUrl() {
            return "http://" + LOOPBACK + ":" + callerPort;
        }

        /** Returns the backend server's base URL, without a trailing slash. */
        public String backendUrl() {
            return "http://" + LOOPBACK + ":" + backendPort;
        }

        /** Returns the node's base URL for status and metrics, without a trailing slash. */
        public String adminUrl() {
            return "http://" + LOOPBACK + ":" + adminPort;
        }
    }

    /**
     * Creates a mesh without nodes. No process is started yet.
     *
     * @param home the installation directory, which contains {@code bin}
     * @param workDir an existing directory for the log and event files
     * @throws IOException if no port is free
     */
    public MeshProcesses(Path home, Path workDir) throws IOException {
        mHome = home;
        mWorkDir = workDir;
        mPlatformPort = mPorts.next();
    }

    /**
     * Adds a node and its backend server without starting them. Called before {@link
     * #startPlatformAndBackends}.
     *
     * @param name the node's name, unique in the mesh
     * @param version the version of the backend server
     * @param behaviour capacity and faults of the backend server
     * @throws IOException if no ports are free
     */
    public void addNode(
            String name,
            String dataCentre,
            String service,
            String version,
            BackendBehaviour behaviour)
            throws IOException {
        mNodes.add(
                new NodeProcess(
                        name,
                        dataCentre,
                        service,
                        version,
                        behaviour,
                        mPorts.next(),
                        mPorts.next(),
                        mPorts.next(),
                        mPorts.next()));
    }

    /** Returns the nodes in the order in which they were added, started or not. */
    public List<NodeProcess> nodes() {
        return List.copyOf(mNodes);
    }

    /** Returns the platform's base URL, without a trailing slash. */
    public String platformUrl() {
        return "http://" + LOOPBACK + ":" + mPlatformPort;
    }

    /**
     * Starts the platform and the backend servers, with one process for the backend servers of each
     * data centre, and waits until all of them listen.
     *
     * @throws IOException if a process can't be started or doesn't listen within 30 s
     */
    public void startPlatformAndBackends() throws IOException {
        startJavaProcess(
                "platform", PlatformStandIn.class, List.of(Integer.toString(mPlatformPort)));
        for (String dataCentre : dataCentres()) {
            List<String> arguments = new ArrayList<>();
            for (NodeProcess node : mNodes) {
                if (node.dataCentre().equals(dataCentre)) {
                    arguments.add(Integer.toString(node.backendPort()));
                    arguments.add(JsonFormat.mapper().writeValueAsString(node.behaviour()));
                }
            }
            startJavaProcess("backends-" + dataCentre, BackendStandIn.class, arguments);
        }
        awaitPort(mPlatformPort);
        for (NodeProcess node : mNodes) {
            awaitPort(node.backendPort());
        }
    }

    private List<String> dataCentres() {
        return mNodes.stream().map(NodeProcess::dataCentre).distinct().toList();
    }

    private void startJavaProcess(String name, Class<?> program, List<String> arguments)
            throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.add("-XX:+UseSerialGC");
        command.add("-Xmx128m");
        command.add("-cp");
        command.add(System.getProperty("java.class.path"));
        command.add(program.getName());
        command.addAll(arguments);
        start(name, command);
    }

    /**
     * Starts the daemon of a node and returns without waiting until it is ready.
     *
     * @param extraFlags flags of the daemon beyond the node's name, service and addresses
     * @throws IOException if the process can't be started
     */
    public Process startNode(NodeProcess node, List<String> extraFlags) throws IOException {
        List<String> command = new ArrayList<>();
        command.add(mHome.resolve("bin/oriolewindd").toString());
        command.addAll(
                List.of(
                        "--node", node.name(),
                        "--data-centre", node.dataCentre(),
                        "--service", node.service(),
                        "--service-version", node.version(),
                        "--backend-address", LOOPBACK + ":" + node.backendPort(),
                        "--caller-address", LOOPBACK + ":" + node.callerPort(),
                        "--peer-address", LOOPBACK + ":" + node.peerPort(),
                        "--admin-address", LOOPBACK + ":" + node.adminPort(),
                        "--platform-url", platformUrl()));
        command.addAll(extraFlags);
        return start(node.name(), command);
    }

    private Process start(String name, List<String> command) throws IOException {
        File events = mWorkDir.resolve(name + ".jsonl").toFile();
        File log = mWorkDir.resolve(name + ".log").toFile();
        Process process =
                new ProcessBuilder(command)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(events))
                        .redirectError(ProcessBuilder.Redirect.appendTo(log))
                        .start();
        mProcesses.add(process);
        return process;
    }

    private static void awaitPort(int port) throws IOException {
        long endMillis = System.currentTimeMillis() + START_TIMEOUT_MILLIS;
        while (true) {
            try (Socket socket = new Socket(LOOPBACK, port)) {
                return;
            } catch (IOException e) {
                if (System.currentTimeMillis() > endMillis) {
                    throw new IOException("nothing listens on port " + port, e);
                }
                Pause.forMillis(50);
            }
        }
    }

    /**
     * Returns the event file of each node. The file of a node that was never started doesn't exist.
     */
    public List<Path> eventFiles() {
        return mNodes.stream().map(node -> mWorkDir.resolve(node.name() + ".jsonl")).toList();
    }

    /**
     * Terminates all processes: asks all to exit, waits up to 10 s for each and kills those that
     * are still running.
     */
    @Override
    public void close() {
        mProcesses.forEach(Process::destroy);
        for (Process process : mProcesses) {
            try {
                if (!process.waitFor(10, TimeUnit.SECONDS)) {
                    process.destroyForcibly();
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                process.destroyForcibly();
            }
        }
    }
}
