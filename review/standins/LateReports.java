import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * An upstream reports that it leaves and gets its ack; then the process that gave the ack is killed
 * and started again, and three reports from before the leaving arrive late. Judged is DRAIN.
 */
final class LateReports extends Case {
    /** Bounds of the small sites. */
    private static final long DRAIN_MILLIS = 2000;

    private static final long STABLE_WINDOW_MILLIS = 3000;

    /** The upstream serves on for this long after its ack. */
    private static final long SERVES_ON_MILLIS = 9000;

    private static final long REPORT_MILLIS = 1500;

    private record Sent(String id, long millis) {}

    private final Queue<Sent> mSent = new ConcurrentLinkedQueue<>();
    private volatile boolean mEnded;

    public static void main(String[] args) {
        run(new LateReports(), args);
    }

    @Override
    boolean play() throws Exception {
        mStore.put(
                "config",
                "main",
                new Config()
                        .route("puka111", "unsafe", 1.5, "press")
                        .route("leny950", "safe", 1.2, "press")
                        .service("press")
                        .build(7));
        for (int i = 0; i < 3; i++) {
            String zone = i < 2 ? "ikeja" : "yaba";
            NodeProcess node = node("n" + i, zone, "press");
            Upstream upstream = upstream(node, zone, "press", "v1");
            node.startSupervised();
            if (i > 0) {
                upstream.report(node.mControl, REPORT_MILLIS);
            }
        }
        NodeProcess node = mNodes.get(0);
        Upstream leaving = mUpstreams.get(0);
        for (NodeProcess each : mNodes) {
            await(each.mName + " is ready", 20_000, each::isReady);
        }
        // The first reports arrive in time, the last three before the leaving late.
        for (int i = 0; i < 5; i++) {
            leaving.beat(node.mControl, "ready", "press");
            Thread.sleep(REPORT_MILLIS);
        }
        startClients();
        Thread.sleep(500);
        List<String> late = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            late.add(leaving.nextReport("ready", "press"));
            mRecord.line("the upstream sends a report that will arrive late");
            Thread.sleep(i < 2 ? REPORT_MILLIS : 300);
        }
        leaving.setLeaving();
        int ack = leaving.beat(node.mControl, "draining", "press");
        long acked = mRecord.millis();
        mRecord.line("the upstream reports draining, answer " + ack);
        if (ack / 100 != 2) {
            throw new IllegalStateException("no ack");
        }
        Thread.sleep(200);
        long started = acked - STABLE_WINDOW_MILLIS;
        if (mTrouble) {
            node.killOnce();
            Thread.sleep(100);
            await("the killed process is ready again", 10_000, node::isReady);
            started = node.startedMillis();
        }
        for (String report : late) {
            Thread.sleep(300);
            mRecord.line(
                    "a late report arrives, answer " + leaving.send(node.mControl, report));
        }
        long judgedFrom = Math.max(acked + DRAIN_MILLIS, started + STABLE_WINDOW_MILLIS);
        Thread.sleep(acked + SERVES_ON_MILLIS - mRecord.millis());
        mEnded = true;
        int before = 0;
        int wrong = 0;
        int sent = 0;
        for (Sent request : mSent) {
            boolean ran = mRecord.runs(request.id()).contains(leaving.mId);
            boolean judged = request.millis() > judgedFrom;
            before += request.millis() < acked && ran ? 1 : 0;
            sent += judged ? 1 : 0;
            wrong += judged && ran ? 1 : 0;
        }
        if (before == 0) {
            throw new IllegalStateException("the upstream got nothing before it left");
        }
        String result =
                wrong + " of " + sent + " requests sent by machines in touch were run by the"
                        + " upstream later than " + DRAIN_MILLIS + " ms after the ack";
        mRecord.line(result);
        System.out.println(result);
        return wrong == 0;
    }

    /** Starts two clients on each machine, which send reads and print orders in turn. */
    private void startClients() {
        for (int i = 0; i < 2 * mNodes.size(); i++) {
            NodeProcess node = mNodes.get(i / 2);
            HttpPeer.thread("client-" + i, () -> client(node));
        }
    }

    private void client(NodeProcess node) {
        for (int i = 0; !mEnded; i++) {
            long at = mRecord.millis();
            Answer answer =
                    i % 2 == 0
                            ? call(node, "GET", "/leny950/2f", new byte[0], 1200)
                            : call(node, "POST", "/puka111/2f", bytes("badge"), 1500);
            mSent.add(new Sent(answer.id(), at));
            try {
                Thread.sleep(50);
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
