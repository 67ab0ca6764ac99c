import java.util.Set;
import java.util.concurrent.CountDownLatch;

/** A watch answer is lost while the store is silent, and another watch hides the missed change. */
final class StaleWatch extends Case {
    private static final long SILENCE_MILLIS = 400;

    /** stable_window_s after the end of the silence, and config_deadline_s after the ack. */
    private static final long IN_TOUCH_MILLIS = 3000;

    private static final long JUDGED_MILLIS = 15_000;

    /** Interval of the stale reads that each reader makes. */
    private static final long PROBE_PERIOD_MILLIS = 500;

    /** The upstreams of the service to which version 7 sends the route. */
    private static final Set<String> OLD = Set.of("i-n0", "i-n5");

    public static void main(String[] args) {
        run(new StaleWatch(), args);
    }

    @Override
    boolean play() throws Exception {
        mStore.put("config", "main", config("alpha").build(7));
        String[] services = {"alpha", "beta", "gamma", "gamma", "beta", "alpha"};
        String[] versions = {"v1", "v1", "v1", "v2", "v1", "v1"};
        // In each zone, the node that was started first reads the store for all.
        Store.Front[] fronts = {mFront, mStore.open()};
        String[] zones = {"ikeja", "yaba"};
        for (int i = 0; i < services.length; i++) {
            int zone = i / 3;
            NodeProcess node = node("n" + i, zones[zone], services[i], fronts[zone]);
            Upstream upstream = upstream(node, zones[zone], services[i], versions[i]);
            node.start();
            upstream.report(node.mControl, 1500);
            Thread.sleep(100);
        }
        for (NodeProcess node : mNodes) {
            await(node.mName + " is ready", 20_000, node::isReady);
        }
        for (NodeProcess node : mNodes) {
            await("the route is served at " + node.mName, 20_000, () -> served(node));
        }
        Thread.sleep(8000);
        changeConfig(fronts);
        Thread.sleep(IN_TOUCH_MILLIS + 100);
        long until = mRecord.millis() + JUDGED_MILLIS;
        int wrong = 0;
        int sent = 0;
        while (mRecord.millis() < until) {
            for (NodeProcess node : mNodes) {
                Answer answer = call(node, "GET", "/leny950/2f", new byte[0], 1200);
                sent++;
                boolean old = mRecord.runs(answer.id()).stream().anyMatch(OLD::contains);
                wrong += old ? 1 : 0;
            }
            Thread.sleep(250);
        }
        String result = wrong + " of " + sent + " requests were run by the service of version 7";
        mRecord.line(result);
        System.out.println(result);
        return wrong == 0;
    }

    /**
     * Lets the store be silent to both readers, to each right after one of its probes, and changes
     * the configuration while it is silent to both.
     */
    private void changeConfig(Store.Front[] fronts) throws InterruptedException {
        long offset = probe(fronts[1]) - probe(fronts[0]);
        long second = Math.floorMod(offset, PROBE_PERIOD_MILLIS);
        int first = second <= SILENCE_MILLIS - 50 ? 0 : 1;
        // An action of the store's own thread starts the silence right after the probe's answer.
        silenceAfterProbe(fronts[first]);
        silenceAfterProbe(fronts[1 - first]);
        Thread.sleep(20);
        mStore.put("config", "main", config("beta").build(9));
        mRecord.line("ack of configuration 9: leny950 goes to beta");
        Thread.sleep(SILENCE_MILLIS - 10);
        mStore.put(
                "rollouts",
                "gamma",
                "{\"service\":\"gamma\",\"target_version\":\"v2\",\"duration_s\":16}");
        mRecord.line("ack of the rollout of gamma v2");
    }

    /** Waits for a probe and returns its time in milliseconds. */
    private long probe(Store.Front front) throws InterruptedException {
        CountDownLatch answered = new CountDownLatch(1);
        front.setAfterStaleRead(answered::countDown);
        answered.await();
        return mRecord.millis();
    }

    private void silenceAfterProbe(Store.Front front) throws InterruptedException {
        CountDownLatch answered = new CountDownLatch(1);
        front.setAfterStaleRead(
                () -> {
                    if (mTrouble) {
                        front.silence(SILENCE_MILLIS);
                        mRecord.line("the store is silent to a machine for 400 ms");
                    }
                    answered.countDown();
                });
        answered.await();
    }

    private static Config config(String service) {
        return new Config()
                .route("leny950", "safe", 1.2, service)
                .route("puka111", "unsafe", 1.5, "gamma")
                .service("alpha")
                .service("beta")
                .service("gamma");
    }

    private boolean served(NodeProcess node) {
        return call(node, "GET", "/leny950/2f", new byte[0], 1200).status() == 200;
    }
}
