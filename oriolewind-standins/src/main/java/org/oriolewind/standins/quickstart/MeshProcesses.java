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
 * The processes of a small mesh on loopback, with ports that were free at the start. All are ended
 * by {@link #close()}. Not safe for use by several threads.
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
     * @param name the node's name
     * @param dataCentre the data centre
     * @param service the service
     * @param version the backend server version
     * @param behaviour how the backend server behaves
     * @param backendPort port of the backend server
     * @param callerPort port for callers
     * @param peerPort port for other nodes
     * @param adminPort port for operators
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
        /**
         * Returns the node's address for callers.
         *
         * @return a URL without a slash at the end
         */
        public String callerUrl() {
            return "http://" + LOOPBACK + ":" + callerPort;
        }

        /**
         * Returns the backend server's address.
         *
         * @return a URL without a slash at the end
         */
        public String backendUrl() {
            return "http://" + LOOPBACK + ":" + backendPort;
        }

        /**
         * Returns the node's address for operators.
         *
         * @return a URL without a slash at the end
         */
        public String adminUrl() {
            return "http://" + LOOPBACK + ":" + adminPort;
        }
    }

    /**
     * Prepares a mesh. Nothing runs yet.
     *
     * @param home the folder that holds {@code bin}
     * @param workDir takes logs and events
     * @throws IOException if no port is free
     */
    public MeshProcesses(Path home, Path workDir) throws IOException {
        mHome = home;
        mWorkDir = workDir;
        mPlatformPort = mPorts.next();
    }

    /**
     * Adds a node.
     *
     * @param name the node's name
     * @param dataCentre the data centre
     * @param service the service
     * @param version the backend server version
     * @param behaviour how the backend server behaves
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

    /**
     * Returns the nodes added.
     *
     * @return the nodes
     */
    public List<NodeProcess> nodes() {
        return List.copyOf(mNodes);
    }

    /**
     * Returns the platform's address.
     *
     * @return a URL without a slash at the end
     */
    public String platformUrl() {
        return "http://" + LOOPBACK + ":" + mPlatformPort;
    }

    /**
     * Starts the platform and the backend servers, one process a data centre.
     *
     * @throws IOException if a process can't be started
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
     * Starts a node.
     *
     * @param node the node
     * @param extraFlags further flags of the daemon
     * @return the process
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
     * Returns the event files of all processes so far.
     *
     * @return the files
     */
    public List<Path> eventFiles() {
        return mNodes.stream().map(node -> mWorkDir.resolve(node.name() + ".jsonl")).toList();
    }

    /** Ends all processes: first gently, then by force. */
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
