import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** An upstream as PROTOCOL.md describes it: slots, request ids, refusals, health and reports. */
class Upstream extends HttpPeer {
    static final int SLOTS = 6;
    private static final int QUEUE = 24;

    final String mId;
    final String mService;
    final String mZone;
    final String mVersion;
    final Record mRecord;
    final long mBorn = System.currentTimeMillis();
    private final Semaphore mSlots = new Semaphore(SLOTS, true);
    private final AtomicLong mSequence = new AtomicLong();
    private volatile long mWorkMillis = 100;
    private volatile int mBodyBytes = 200;
    private volatile boolean mLeaving;

    Upstream(
            int port, String id, String service, String zone, String version, Record record)
            throws IOException {
        super(port);
        mId = id;
        mService = service;
        mZone = zone;
        mVersion = version;
        mRecord = record;
    }

    void setWorkMillis(long millis) {
        mWorkMillis = millis;
    }

    void setBodyBytes(int bytes) {
        mBodyBytes = bytes;
    }

    long workMillis() {
        return mWorkMillis;
    }

    void setLeaving() {
        mLeaving = true;
    }

    @Override
    void handle(Message request, Connection connection) throws IOException, InterruptedException {
        if (request.target().equals("/health")) {
            connection.answer(
                    mLeaving ? 503 : 200, new byte[0], "X-Oriolewind-Instance-Id", mId);
            return;
        }
        String target = request.header("X-Oriolewind-Target-Instance");
        String id = request.header("X-Oriolewind-Request-Id");
        if (target != null && !target.equals(mId)) {
            connection.answer(421, new byte[0], "X-Oriolewind-Instance-Id", mId);
            return;
        }
        if (id == null) {
            connection.answer(400, new byte[0], "X-Oriolewind-Not-Executed", "1");
            return;
        }
        if (isFull()) {
            refuse(connection);
            return;
        }
        String deadline = request.header("X-Oriolewind-Deadline-Ms");
        long leftMillis = deadline == null ? 60_000 : (long) Double.parseDouble(deadline);
        if (!mSlots.tryAcquire(leftMillis, TimeUnit.MILLISECONDS)) {
            refuse(connection);
            return;
        }
        try {
            mRecord.line("run " + id + " " + request.method() + " at " + mId + ", deadline "
                    + deadline);
            mRecord.onRun(id, mId);
            run(request, id, connection);
        } finally {
            mSlots.release();
        }
    }

    /** Returns whether the next request is refused. */
    boolean isFull() {
        return mSlots.getQueueLength() >= QUEUE;
    }

    /** Answers that a request was not run. */
    static void refuse(Connection connection) throws IOException {
        connection.answer(503, new byte[0], "X-Oriolewind-Not-Executed", "1");
    }

    /** Works on a request and answers it. */
    void run(Message request, String id, Connection connection)
            throws IOException, InterruptedException {
        Thread.sleep(mWorkMillis);
        answer(id, connection);
    }

    void answer(String id, Connection connection) throws IOException {
        byte[] body = body(id, mBodyBytes);
        connection.answer(
                200,
                body,
                "X-Oriolewind-Request-Id",
                id,
                "X-Oriolewind-Server-Stamp",
                mId + "." + body.length,
                "Content-Type",
                "application/octet-stream");
    }

    /** Returns the answer's body: the id again and again. */
    static byte[] body(String id, int bytes) {
        byte[] text = (id + "\n").getBytes(StandardCharsets.UTF_8);
        byte[] body = new byte[bytes];
        for (int i = 0; i < bytes; i++) {
            body[i] = text[i % text.length];
        }
        return body;
    }

    /** Reports to the control address of a node until the upstream leaves. */
    void report(int controlPort, long periodMillis) {
        thread(
                "report-" + mId,
                () -> {
                    while (!mLeaving) {
                        try {
                            beat(controlPort, "ready", mService);
                            Thread.sleep(periodMillis);
                        } catch (InterruptedException e) {
                            return;
                        }
                    }
                });
    }

    /** Sends one status report; returns the status of the answer, 0 without one. */
    int beat(int controlPort, String state, String service) {
        return send(controlPort, nextReport(state, service));
    }

    /** Returns the body of the next status report, which may be sent later. */
    String nextReport(String state, String service) {
        return "{\"born\":" + mBorn + ",\"address\":\"127.0.0.1:" + port()
                + "\",\"info\":{\"service\":\"" + service + "\",\"version\":\"" + mVersion
                + "\",\"zone\":\"" + mZone + "\",\"slots\":" + SLOTS + "},\"status\":{\"state\":\""
                + state + "\",\"sequence\":" + mSequence.incrementAndGet()
                + ",\"cold_remaining_s\":0}}";
    }

    /** Sends the body of a status report. */
    int send(int controlPort, String report) {
        try (Socket socket = Caller.connect(controlPort)) {
            return Caller.exchange(
                            socket,
                            "PUT",
                            "/instances/" + mId,
                            report.getBytes(StandardCharsets.UTF_8),
                            1000,
                            "Content-Type",
                            "application/json")
                    .status();
        } catch (IOException e) {
            return 0;
        }
    }
}
