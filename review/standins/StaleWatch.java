/** A watch answer is lost while the store is silent, and another watch hides the missed change. */
final class StaleWatch extends Case {
    private static final long SILENCE_MILLIS = 400;

    /** stable_window_s after the end of the silence, and config_deadline_s after the ack. */
    private static final long IN_TOUCH_MILLIS = 3000;

    private static final long JUDGED_MILLIS = 15_000;

    public static void main(String[] args) {
        run(new StaleWatch(), args);
    }

    @Override
    boolean play() throws Exception {
        mStore.put("config", "main", config("alpha").build(7));
        String[] services = {"alpha", "beta", "gamma", "gamma"};
        String[] versions = {"v1", "v1", "v1", "v2"};
        for (int i = 0; i < services.length; i++) {
            NodeProcess node = node("n" + i, "ikeja", services[i]);
            Upstream upstream = upstream(node, "ikeja", services[i], versions[i]);
            node.start();
            upstream.report(node.mControl, 1500);
            Thread.sleep(100);
        }
        for (NodeProcess node : mNodes) {
            await(node.mName + " is ready", 20_000, node::isReady);
        }
        for (NodeProcess node : mNodes) {
            await("alpha answers at " + node.mName, 20_000, () -> served(node, "alpha"));
        }
        Thread.sleep(8000);
        long[] ended = new long[1];
        mStore.setAfterStaleRead(
                () -> {
                    if (mTrouble) {
                        mStore.silence(SILENCE_MILLIS);
                        mRecord.line("store is silent for " + SILENCE_MILLIS + " ms");
                    }
                    HttpPeer.thread("operator", () -> operate(ended));
                });
        await("operator has changed the configuration", 5000, () -> ended[0] > 0);
        Thread.sleep(IN_TOUCH_MILLIS + 100);
        long until = mRecord.millis() + JUDGED_MILLIS;
        int wrong = 0;
        int sent = 0;
        while (mRecord.millis() < until) {
            for (NodeProcess node : mNodes) {
                Answer answer = call(node, "GET", "/leny950/2f", new byte[0], 1200);
                sent++;
                wrong += mRecord.runs(answer.id()).contains("i-n0") ? 1 : 0;
            }
            Thread.sleep(250);
        }
        mRecord.line(wrong + " of " + sent + " requests were run by the service of version 7");
        System.out.println(wrong + " of " + sent + " requests were run by the old service");
        return wrong == 0;
    }

    private static Config config(String service) {
        return new Config()
                .route("leny950", "safe", 1.2, service)
                .route("puka111", "unsafe", 1.5, "gamma")
                .service("alpha")
                .service("beta")
                .service("gamma");
    }

    private boolean served(NodeProcess node, String service) {
        Answer answer = call(node, "GET", "/leny950/2f", new byte[0], 1200);
        return answer.status() == 200;
    }

    private void operate(long[] ended) {
        try {
            Thread.sleep(50);
            mStore.put("config", "main", config("beta").build(9));
            mRecord.line("ack of configuration 9: leny950 goes to beta");
            Thread.sleep(SILENCE_MILLIS);
            mStore.put(
                    "rollouts",
                    "gamma",
                    "{\"service\":\"gamma\",\"target_version\":\"v2\",\"duration_s\":16}");
            mRecord.line("ack of the rollout of gamma v2");
            ended[0] = mRecord.millis();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
