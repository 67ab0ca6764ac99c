import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A faulty upstream writes an earlier refusal once more on kept connections. Judged are TWICE and
 * REFUSED for unsafe requests.
 */
final class StrayRefusal extends Case {
    private static final int CLIENTS = 4;
    private static final long PLAYED_MILLIS = 10_000;

    /** for_s of garble. */
    private static final long SPOILED_MILLIS = 5000;
    private static final int DEADLINE_MILLIS = 1500;

    /** x of garble: less than 0.03 of the answers are spoiled, at one upstream of three. */
    private static final int SPOILED_EACH = 34;

    private final Queue<Answer> mAnswers = new ConcurrentLinkedQueue<>();
    private volatile boolean mDone;
    private volatile long mSpoiledUntilMillis;

    /** Refuses its first request, as a full upstream does, and repeats that refusal later. */
    private final class Faulty extends Upstream {
        private final AtomicInteger mArrived = new AtomicInteger();
        private final AtomicInteger mRun = new AtomicInteger();
        private final ThreadLocal<Integer> mOnConnection = ThreadLocal.withInitial(() -> 0);

        Faulty(NodeProcess node, String zone, Record record) throws IOException {
            super(node.mBackend, "i-" + node.mName, "press", zone, "v1", record);
        }

        @Override
        boolean isFull() {
            boolean first = mArrived.incrementAndGet() == 1;
            if (first) {
                mRecord.line(mId + " refuses its first request");
            }
            return first || super.isFull();
        }

        @Override
        void run(Message request, String id, Connection connection)
                throws IOException, InterruptedException {
            int earlier = mOnConnection.get();
            mOnConnection.set(earlier + 1);
            boolean spoil =
                    mRecord.millis() < mSpoiledUntilMillis
                            && mRun.incrementAndGet() % SPOILED_EACH == 0;
            if (mTrouble && earlier > 0 && spoil) {
                mRecord.line(mId + " writes an earlier refusal before the answer to " + id);
                refuse(connection);
            }
            super.run(request, id, connection);
        }
    }

    public static void main(String[] args) {
        run(new StrayRefusal(), args);
    }

    @Override
    boolean play() throws Exception {
        mStore.put(
                "config",
                "main",
                new Config()
                        .route("puka111", "unsafe", 1.5, "press")
                        .service("press")
                        .service("registry")
                        .build(7));
        String[] services = {"registry", "press", "press", "press"};
        for (int i = 0; i < services.length; i++) {
            String zone = i % 2 == 0 ? "ikeja" : "yaba";
            NodeProcess node = node("n" + i, zone, services[i]);
            Upstream upstream =
                    i == 2 ? new Faulty(node, zone, mRecord) : upstream(node, zone, services[i], "v1");
            node.startSupervised();
            upstream.report(node.mControl, 1500);
        }
        for (NodeProcess node : mNodes) {
            await(node.mName + " is ready", 20_000, node::isReady);
        }
        await(
                "print orders are answered",
                20_000,
                () -> order(mNodes.get(0)).status() == 200);
        sleep(4000);
        mSpoiledUntilMillis = mRecord.millis() + SPOILED_MILLIS;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS * mNodes.size(); i++) {
            NodeProcess node = mNodes.get(i % mNodes.size());
            clients.add(HttpPeer.thread("client-" + i, () -> client(node)));
        }
        sleep(PLAYED_MILLIS);
        mDone = true;
        for (Thread client : clients) {
            client.join();
        }
        int twice = 0;
        int refused = 0;
        for (Answer answer : mAnswers) {
            List<String> runs = mRecord.runs(answer.id());
            if (runs.size() > 1) {
                twice++;
                mRecord.line("TWICE: " + answer.id() + " was run by " + runs);
            }
            if ((answer.status() == 503 || answer.status() == 429) && !runs.isEmpty()) {
                refused++;
                mRecord.line("REFUSED: " + answer.id() + " was run by " + runs);
            }
        }
        String result =
                twice + " of " + mAnswers.size() + " unsafe requests ran more than once; " + refused
                        + " were refused and had run";
        mRecord.line(result);
        System.out.println(result);
        return twice + refused == 0;
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Answer order(NodeProcess node) {
        return call(node, "POST", "/puka111/2f", bytes("badge"), DEADLINE_MILLIS);
    }

    private void client(NodeProcess node) {
        while (!mDone) {
            mAnswers.add(order(node));
            sleep(50);
        }
    }
}
