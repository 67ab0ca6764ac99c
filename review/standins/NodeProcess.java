import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.ServerSocket;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One node of the system, started with the run line and the template of the deploy file. */
final class NodeProcess {
    final String mName;
    final int mClients;
    final int mReady;
    final int mControl;
    final int mBackend;
    final int mPeer;
    private static final int FIRST_PORT = 12_000;
    private static final int LAST_PORT = 32_000;

    private final Path mRoot;
    private final Path mFolder;
    private final Record mRecord;
    private final Map<String, String> mFields = new HashMap<>();
    /** Delay after which the platform starts a process again that has ended. */
    static final long RESTART_MILLIS = 500;

    private volatile Process mProcess;
    private volatile boolean mSupervised;
    private volatile boolean mExpectedEnd;
    private volatile int mOwnEnds;
    private volatile long mStartedMillis;
    private volatile int mStarts;

    NodeProcess(
            Path root, Path folder, Record record, String name, String zone, String service,
            int storePort)
            throws IOException {
        mRoot = root;
        mFolder = folder;
        mRecord = record;
        mName = name;
        int[] ports = freePorts();
        mClients = ports[0];
        mReady = ports[1];
        mControl = ports[2];
        mBackend = ports[3];
        mPeer = ports[4];
        mFields.put("node_name", name);
        mFields.put("ip", "127.0.0.1");
        mFields.put("zone", zone);
        mFields.put("service", service);
        mFields.put("app_addr", "127.0.0.1:" + mBackend);
        mFields.put("heartbeat_s", "1.5");
        mFields.put("listen.outbound", "127.0.0.1:" + mClients);
        mFields.put("listen.readiness_addr", "127.0.0.1:" + mReady);
        mFields.put("listen.control", "127.0.0.1:" + mControl);
        mFields.put("port_range", mPeer + "," + (mPeer + 15));
        mFields.put("platform.address", "127.0.0.1:" + storePort);
        mFields.put("bounds.budget_ratio", "0.2");
        mFields.put("bounds.budget_slack", "60");
        mFields.put("bounds.budget_window_s", "10");
        mFields.put("bounds.cold_multiplier", "1.5");
        mFields.put("bounds.cold_slack", "5");
        mFields.put("bounds.expose_share", "0.1");
        mFields.put("bounds.expose_slack", "50");
        mFields.put("limits.link_mbps", "1000.0");
        mFields.put("bounds.grace_s", "6");
    }

    /**
     * Returns four free ports and one that, like the port after it, is free. They lie below the
     * ports that systems commonly take for outgoing connections.
     */
    private static int[] freePorts() {
        int[] ports = new int[5];
        for (int i = 0; i < ports.length; i++) {
            do {
                ports[i] = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
            } while (!isFree(ports[i]) || !isFree(ports[i] + 1));
        }
        return ports;
    }

    private static boolean isFree(int port) {
        try {
            new ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close();
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Changes a field of the settings before the next start. */
    void setField(String name, String value) {
        mFields.put(name, value);
    }

    void start() throws IOException {
        String template = Files.readString(mRoot.resolve("deploy/settings.properties"));
        Matcher matcher = Pattern.compile("\\{\\{([a-z_.]+)}}").matcher(template);
        String settings =
                matcher.replaceAll(
                        m -> Matcher.quoteReplacement(mFields.getOrDefault(m.group(1), "")));
        Path file = mFolder.resolve(mName + ".settings");
        Files.writeString(file, settings);
        ProcessBuilder builder = new ProcessBuilder(List.of(runLine().split(" ")));
        builder.directory(mRoot.toFile());
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("ORIOLEWIND_BOOT", file.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(new File(mFolder.toFile(), mName + ".log")));
        mProcess = builder.start();
        mStartedMillis = mRecord.millis();
        mStarts++;
        mRecord.line("node " + mName + " started");
        Process process = mProcess;
        process.onExit().thenAccept(this::onEnd);
    }

    /** Starts the process and, as the platform does, starts it again whenever it ends. */
    void startSupervised() throws IOException {
        mSupervised = true;
        start();
    }

    private void onEnd(Process process) {
        mRecord.line("node " + mName + " ended, status " + process.exitValue());
        if (!mSupervised) {
            return;
        }
        if (!mExpectedEnd) {
            mOwnEnds++;
        }
        mExpectedEnd = false;
        try {
            Thread.sleep(RESTART_MILLIS);
            if (mSupervised) {
                start();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            mRecord.line("node " + mName + " can't be started: " + e.getMessage());
        }
    }

    /** Kills a supervised process once. */
    void killOnce() {
        mRecord.line("kill of " + mName);
        mExpectedEnd = true;
        mProcess.destroyForcibly();
    }

    /** Returns the time of the latest start, as in the record. */
    long startedMillis() {
        return mStartedMillis;
    }

    /** Sends SIGTERM to a supervised process, which ends in its own time. */
    void stopOnce() throws IOException, InterruptedException {
        mExpectedEnd = true;
        signal("TERM");
    }

    /** Returns how often the process was started. */
    int starts() {
        return mStarts;
    }

    /** Returns how often the process has ended without a signal of the test. */
    int ownEnds() {
        return mOwnEnds;
    }

    private String runLine() throws IOException {
        for (String line : Files.readAllLines(mRoot.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) {
                return line.substring(7, line.length() - 1);
            }
        }
        throw new IOException("no run line in deploy/system.toml");
    }

    boolean isAlive() {
        return mProcess != null && mProcess.isAlive();
    }

    int exitStatus() {
        return mProcess.exitValue();
    }

    /** Sends a signal to this process only. */
    void signal(String name) throws IOException, InterruptedException {
        mRecord.line("signal " + name + " to " + mName);
        new ProcessBuilder("kill", "-" + name, Long.toString(mProcess.pid()))
                .inheritIO()
                .start()
                .waitFor();
    }

    /** Ends the process as the platform does after the grace period. */
    void kill() throws InterruptedException {
        mSupervised = false;
        if (mProcess != null) {
            mProcess.destroyForcibly();
            mProcess.waitFor(5, TimeUnit.SECONDS);
        }
    }

    boolean isReady() {
        try (Socket socket = Caller.connect(mReady)) {
            return Caller.exchange(socket, "GET", "/ready", new byte[0], 1000).status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns a metric's value, or -1. */
    double metric(String name) {
        try (Socket socket = Caller.connect(mPeer + 1)) {
            String text =
                    Caller.exchange(socket, "GET", "/metrics", new byte[0], 1000).text();
            for (String line : text.split("\n")) {
                if (line.startsWith(name + " ")) {
                    return Double.parseDouble(line.substring(name.length() + 1).trim());
                }
            }
        } catch (IOException e) {
            return -1;
        }
        return -1;
    }

    List<String> log() throws IOException {
        Path log = mFolder.resolve(mName + ".log");
        try (BufferedReader reader =
                new BufferedReader(
                        new InputStreamReader(Files.newInputStream(log), StandardCharsets.UTF_8))) {
            return reader.lines().toList();
        }
    }
}
