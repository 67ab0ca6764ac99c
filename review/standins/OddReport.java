import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * A status report of another writer arrives while requests of kept connections are at work. Judged
 * is LOST: requests that were passed on to a sound upstream and get no answer.
 */
final class OddReport extends Case {
    /** Bound of the rule: more than three times. */
    private static final int MAX_LOST = 3;

    private static final int CLIENTS = 6;
    private static final long WORK_MILLIS = 800;
    private static final int DEADLINE_MILLIS = 1500;

    public static void main(String[] args) {
        run(new OddReport(), args);
    }

    @Override
    boolean play() throws Exception {
        mStore.put(
                "config",
                "main",
                new Config()
                        .route("puka111", "unsafe", 1.5, "press")
                        .route("leny950", "safe", 1.2, "registry")
                        .service("press")
                        .service("registry")
                        .build(7));
        String[] services = {"registry", "press", "press"};
        String[] zones = {"ikeja", "ikeja", "yaba"};
        for (int i = 0; i < services.length; i++) {
            NodeProcess node = node("n" + i, zones[i], services[i]);
            Upstream upstream = upstream(node, zones[i], services[i], "v1");
            node.startSupervised();
            upstream.report(node.mControl, 1500);
        }
        for (NodeProcess node : mNodes) {
            await(node.mName + " is ready", 20_000, node::isReady);
        }
        NodeProcess node = mNodes.get(0);
        await(
                "print orders are answered",
                20_000,
                () -> call(node, "POST", "/puka111/2f", bytes("badge"), 1500).status() == 200);
        // Longer than stable_window_s, so that all machines are in touch.
        Thread.sleep(5000);
        mUpstreams.forEach(upstream -> upstream.setWorkMillis(WORK_MILLIS));
        List<Answer> answers = new ArrayList<>();
        CountDownLatch done = new CountDownLatch(CLIENTS);
        for (int i = 0; i < CLIENTS; i++) {
            HttpPeer.thread(
                    "client-" + i,
                    () -> {
                        List<Answer> both = client(node);
                        synchronized (answers) {
                            answers.addAll(both);
                        }
                        done.countDown();
                    });
        }
        // The second requests are at work by now.
        Thread.sleep(WORK_MILLIS + WORK_MILLIS / 2);
        if (mTrouble) {
            String report = OddJson.nestedObjects(900, 1_040_000);
            mRecord.line("another writer sends a status report of " + report.length() + " bytes");
            int status = report(node, report);
            mRecord.line("the report is answered with " + status);
        }
        done.await(10, TimeUnit.SECONDS);
        int lost = 0;
        for (Answer answer : answers) {
            boolean ran = !mRecord.runs(answer.id()).isEmpty();
            lost += ran && answer.status() == 0 && !answer.error().contains("timed out") ? 1 : 0;
        }
        String result =
                lost + " of " + answers.size() + " requests ran and their connection was closed"
                        + " without an answer; the process ended by itself " + node.ownEnds()
                        + " times";
        mRecord.line(result);
        System.out.println(result);
        return lost <= MAX_LOST;
    }

    /** Sends two print orders on one connection. */
    private List<Answer> client(NodeProcess node) {
        List<Answer> answers = new ArrayList<>();
        String id = newId();
        try (Socket socket = Caller.connect(node.mClients)) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            socket.setSoTimeout(DEADLINE_MILLIS);
            for (int i = 0; i < 2; i++) {
                id = newId();
                mRecord.line("client sends " + id + " POST /puka111/2f to " + node.mName);
                socket.getOutputStream()
                        .write(
                                Caller.request(
                                        "POST",
                                        "/puka111/2f",
                                        bytes("badge"),
                                        headers(id, DEADLINE_MILLIS)));
                answers.add(answer(id, HttpPeer.read(in)));
                mRecord.line("client got " + id + " " + answers.get(i).status());
            }
        } catch (IOException e) {
            answers.add(new Answer(id, 0, null, new byte[0], String.valueOf(e.getMessage()), 0));
            mRecord.line("client got no answer to " + id + ": " + e.getMessage());
        }
        return answers;
    }

    private static int report(NodeProcess node, String text) {
        try (Socket socket = Caller.connect(node.mControl)) {
            return Caller.exchange(
                            socket,
                            "PUT",
                            "/instances/i-other",
                            bytes(text),
                            2000,
                            "Content-Type",
                            "application/json")
                    .status();
        } catch (IOException e) {
            return 0;
        }
    }
}
