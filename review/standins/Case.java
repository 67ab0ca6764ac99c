import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.stream.Stream;

/**
 * Frame of one case: a store, nodes and upstreams, all ended with the case. Exit status 1 if the
 * rule was broken, 0 if it held, 2 if the case couldn't run.
 */
abstract class Case {
    /** A request's answer as the client saw it; status 0 without an answer. */
    record Answer(String id, int status, String stamp, byte[] body, String error, double retry) {}

    final Path mRoot = Path.of("").toAbsolutePath();
    final boolean mTrouble = !"0".equals(System.getenv("TROUBLE"));
    final List<NodeProcess> mNodes = new ArrayList<>();
    final List<Upstream> mUpstreams = new ArrayList<>();
    Path mFolder;
    Record mRecord;
    Store mStore;
    Store.Front mFront;

    /** Plays the case; returns whether the rule held. */
    abstract boolean play() throws Exception;

    static void run(Case test, String[] args) {
        int status = 2;
        // For an end by a signal; halt below doesn't run it.
        Runtime.getRuntime().addShutdownHook(new Thread(test::end));
        try {
            test.mFolder = Files.createTempDirectory("review");
            test.mRecord = new Record(Path.of(args[0]));
            test.mStore = new Store();
            test.mFront = test.mStore.open();
            test.mRecord.line("disruption: " + (test.mTrouble ? "on" : "off"));
            boolean held = test.play();
            test.mRecord.line(held ? "the rule held" : "the rule was broken");
            System.out.println(held ? "the rule held" : "the rule was broken");
            status = held ? 0 : 1;
        } catch (Exception e) {
            System.out.println("the case couldn't run: " + e);
            e.printStackTrace(System.out);
        } finally {
            test.end();
        }
        Runtime.getRuntime().halt(status);
    }

    /** Ends all nodes and removes their files. */
    private void end() {
        try {
            for (NodeProcess node : mNodes) {
                node.kill();
            }
            try (Stream<Path> files = Files.list(mFolder)) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
            }
            Files.delete(mFolder);
        } catch (IOException e) {
            System.out.println("files are left over: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    NodeProcess node(String name, String zone, String service) throws IOException {
        return node(name, zone, service, mFront);
    }

    NodeProcess node(String name, String zone, String service, Store.Front front)
            throws IOException {
        NodeProcess node =
                new NodeProcess(mRoot, mFolder, mRecord, name, zone, service, front.port());
        mNodes.add(node);
        return node;
    }

    Upstream upstream(NodeProcess node, String zone, String service, String version)
            throws IOException {
        Upstream upstream =
                new Upstream(
                        node.mBackend, "i-" + node.mName, service, zone, version, mRecord);
        mUpstreams.add(upstream);
        return upstream;
    }

    interface Condition {
        boolean holds() throws Exception;
    }

    void await(String what, long millis, Condition condition) throws Exception {
        long until = mRecord.millis() + millis;
        while (!condition.holds()) {
            if (mRecord.millis() > until) {
                throw new IOException("timeout: " + what);
            }
            Thread.sleep(50);
        }
        mRecord.line(what);
    }

    static String newId() {
        return UUID.randomUUID().toString().replace("-", "").substring(0, 16);
    }

    /** Sends one request on a new connection. */
    Answer call(NodeProcess node, String method, String target, byte[] body, int deadlineMillis) {
        String id = newId();
        mRecord.line("client sends " + id + " " + method + " " + target + " to " + node.mName);
        Answer answer;
        try (Socket socket = Caller.connect(node.mClients)) {
            HttpPeer.Message message =
                    Caller.exchange(
                            socket, method, target, body, deadlineMillis, headers(id, deadlineMillis));
            answer = answer(id, message);
        } catch (IOException e) {
            answer = new Answer(id, 0, null, new byte[0], String.valueOf(e.getMessage()), 0);
        }
        mRecord.line(
                "client got " + id + " " + answer.status() + ", stamp " + answer.stamp()
                        + (answer.error() == null ? "" : ", " + answer.error()));
        return answer;
    }

    static String[] headers(String id, int deadlineMillis) {
        return new String[] {
            "Host", Config.HOST,
            "X-Oriolewind-Request-Id", id,
            "X-Oriolewind-Deadline-Ms", Integer.toString(deadlineMillis)
        };
    }

    static Answer answer(String id, HttpPeer.Message message) {
        String retry = message.header("Retry-After");
        return new Answer(
                id,
                message.status(),
                message.header("X-Oriolewind-Server-Stamp"),
                message.mBody,
                null,
                retry == null ? 0 : Double.parseDouble(retry));
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
