import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Machines are stopped and started in turn under load, and nothing else happens. Judged is LOST:
 * requests that are broken off after the SIGTERM of their machine while their upstream is at work,
 * and answered by the system itself.
 */
final class BrokenOff extends Case {
    private static final int NODES = 8;

    /** Clients of each machine; an upstream has 6 slots. */
    private static final int CLIENTS = 7;

    /** gap_s between the machines that are stopped, one at a time. */
    private static final long GAP_MILLIS = 2000;

    /** Each machine is stopped this often; before, the processes run for a while. */
    private static final int ROUNDS = 2;

    private static final long CALM_MILLIS = 33_000;
    private static final long WORK_MILLIS = 1300;
    private static final int DEADLINE_MILLIS = 3000;

    /** timeout_s of the route. */
    private static final int TIMEOUT_MILLIS = 2000;

    /** Bounds of the small sites: until 1 s after grace_s, for requests sent up to 3 s after. */
    private static final long PLANNED_MILLIS = 7000;

    private static final long SENT_MILLIS = 3000;

    private record Ended(NodeProcess node, Answer answer, long sentMillis, long endedMillis) {}

    private final Queue<Ended> mEnded = new ConcurrentLinkedQueue<>();
    private final Map<NodeProcess, Deque<Long>> mStops = new HashMap<>();
    private final Map<NodeProcess, Boolean> mGetsClients = new ConcurrentHashMap<>();
    private volatile boolean mDone;

    public static void main(String[] args) {
        run(new BrokenOff(), args);
    }

    @Override
    boolean play() throws Exception {
        mStore.put(
                "config",
                "main",
                new Config().route("gohu722", "safe", 2.0, "batches").service("batches").build(7));
        for (int i = 0; i < NODES; i++) {
            String zone = i % 2 == 0 ? "ikeja" : "yaba";
            NodeProcess node = node("n" + i, zone, "batches");
            Upstream upstream = upstream(node, zone, "batches", "v1");
            upstream.setWorkMillis(WORK_MILLIS);
            node.startSupervised();
            upstream.report(node.mControl, 1500);
            mStops.put(node, new ArrayDeque<>());
        }
        for (NodeProcess node : mNodes) {
            await(node.mName + " is ready", 30_000, node::isReady);
            mGetsClients.put(node, true);
        }
        for (NodeProcess node : mNodes) {
            HttpPeer.thread("readiness-" + node.mName, () -> checkReadiness(node));
            for (int i = 0; i < CLIENTS; i++) {
                HttpPeer.thread("client-" + i, () -> client(node));
            }
        }
        for (int round = 0; round < ROUNDS; round++) {
            sleep(CALM_MILLIS);
            for (NodeProcess node : mNodes) {
                if (mTrouble) {
                    mStops.get(node).add(mRecord.millis());
                    node.stopOnce();
                }
                sleep(GAP_MILLIS);
            }
        }
        sleep(PLANNED_MILLIS);
        mDone = true;
        sleep(TIMEOUT_MILLIS);
        int lost = 0;
        for (Ended ended : mEnded) {
            for (long stopped : mStops.get(ended.node())) {
                lost += isLost(ended, stopped) ? 1 : 0;
            }
        }
        int stops = mStops.values().stream().mapToInt(Deque::size).sum();
        String result =
                lost + " requests were broken off after one of " + stops
                        + " SIGTERMs while their upstream was at work, and answered without it; "
                        + mEnded.size() + " requests were sent";
        mRecord.line(result);
        System.out.println(result);
        return lost == 0;
    }

    private static boolean sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
            return true;
        } catch (InterruptedException e) {
            return false;
        }
    }

    /** Two questions in a row without a 200 take a machine out, as on the platform. */
    private void checkReadiness(NodeProcess node) {
        int misses = 0;
        while (sleep(1000)) {
            misses = node.isReady() ? 0 : misses + 1;
            mGetsClients.put(node, misses < 2);
        }
    }

    private void client(NodeProcess node) {
        while (!mDone) {
            if (!mGetsClients.get(node)) {
                sleep(100);
                continue;
            }
            long sent = mRecord.millis();
            Answer answer = call(node, "GET", "/gohu722/2f", new byte[0], DEADLINE_MILLIS);
            mEnded.add(new Ended(node, answer, sent, mRecord.millis()));
            sleep(answer.status() == 503 ? (long) (answer.retry() * 1000) : 20);
        }
    }

    private boolean isLost(Ended ended, long stopped) {
        Answer answer = ended.answer();
        boolean planned =
                ended.endedMillis() > stopped
                        && ended.endedMillis() < stopped + PLANNED_MILLIS
                        && ended.sentMillis() < stopped + SENT_MILLIS;
        long started = mRecord.runStartMillis(answer.id());
        boolean atWork = started >= 0 && ended.endedMillis() < started + WORK_MILLIS;
        boolean inTime = ended.endedMillis() < ended.sentMillis() + TIMEOUT_MILLIS;
        boolean own = answer.status() >= 500 && answer.stamp() == null;
        if (!planned || !atWork || !inTime || !own) {
            return false;
        }
        mRecord.line(
                "broken off: " + answer.id() + ", sent at " + ended.sentMillis() + " ms to "
                        + ended.node().mName + ", run at " + started + " by "
                        + mRecord.runs(answer.id()) + ", SIGTERM at " + stopped + ", answered "
                        + answer.status() + " at " + ended.endedMillis());
        return true;
    }
}
