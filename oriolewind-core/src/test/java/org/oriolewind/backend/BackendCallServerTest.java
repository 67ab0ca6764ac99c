package org.oriolewind.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.oriolewind.dispatch.ClientRequest;
import org.oriolewind.dispatch.RequestLog;
import org.oriolewind.dispatch.UnusualResponse;
import org.oriolewind.policy.DocumentChange;
import org.oriolewind.policy.DocumentKind;
import org.oriolewind.policy.FakeDecoder;
import org.oriolewind.policy.OperatorDocumentCache;
import org.oriolewind.request.BackendCallSender;
import org.oriolewind.request.Cancellable;
import org.oriolewind.time.FakeClock;
import org.oriolewind.time.FakeTimers;
import org.oriolewind.wire.CallAnswer;
import org.oriolewind.wire.CallRequest;
import org.oriolewind.wire.NotRunReason;

class BackendCallServerTest {
    private static final String ADDRESS = "10.0.0.1:80";

    private final FakeClock mClock = new FakeClock();
    private final FakeTimers mTimers = new FakeTimers(mClock);
    private final OperatorDocumentCache mDocuments =
            new OperatorDocumentCache(new FakeDecoder(List.of()), kind -> {});
    private final BackendTracker mBackend = new BackendTracker(mClock, ADDRESS, 1500);
    private final List<Long> mForwarded = new ArrayList<>();
    private final List<CallAnswer> mAnswers = new ArrayList<>();
    private final BackendCallServer mCallServer =
            new BackendCallServer(
                    "dc1",
                    new SlowStartLimit(1.5, 0),
                    mClock,
                    mBackend,
                    new BackendGate(mClock, mTimers),
                    this::send,
                    () -> mDocuments,
                    new StartupHeartbeatVerifier(mClock, (path, done) -> {}, () -> {}),
                    new NoLog());
    private int mSequence;

    @BeforeEach
    void setConfiguration() {
        mDocuments.replace(DocumentKind.CONFIG, 1, List.of(FakeDecoder.document("main", 1, "1")));
    }

    private static final class NoLog implements RequestLog {
        @Override
        public void ended(
                ClientRequest request,
                String route,
                String outcome,
                Supplier<String> detail,
                long millis) {
            // The tests check the answers instead.
        }

        @Override
        public void retried(String requestId, String node, String reason) {
            // The tests check the answers instead.
        }

        @Override
        public void failedLocally(String requestId, String instance, String reason, long millis) {
            // The tests check the answers instead.
        }

        @Override
        public void unusualResponse(
                String requestId, String instance, UnusualResponse kind, Supplier<String> detail) {
            // The backend servers of these tests answer as they should.
        }
    }

    private Cancellable send(
            CallRequest call, long timeoutMillis, BackendCallSender.Listener listener) {
        mForwarded.add(mClock.monotonicMillis());
        mTimers.schedule(20, () -> listener.onAnswer(200, List.of(), ByteString.EMPTY));
        return () -> {};
    }

    private void sendHeartbeat(String instance, long coldMillis) {
        mBackend.onHeartbeat(
                new BackendHeartbeat(
                        instance, 1, ADDRESS, "s", "v1", 50, false, ++mSequence, coldMillis));
        mCallServer.refresh();
    }

    private void call(String instance) {
        CallRequest request =
                CallRequest.newBuilder()
                        .setService("s")
                        .setTargetInstance(instance)
                        .setRoute("r")
                        .setTimeoutMillis(3000)
                        .setAimMillis(3000)
                        .build();
        mCallServer.serve(request, mAnswers::add);
    }

    private void evacuate(boolean out, long revision) {
        DocumentChange change = new DocumentChange(FakeDecoder.document("dc1", revision, ""), !out);
        mDocuments.apply(DocumentKind.EVACUATION, List.of(change), revision);
        mCallServer.refresh();
    }

    @Test
    void callForAnotherInstanceIsNotForwarded() {
        sendHeartbeat("a", 0);
        call("b");
        assertEquals(NotRunReason.NOT_RUN_REASON_WRONG_TARGET, mAnswers.get(0).getNotRunReason());
        assertTrue(mForwarded.isEmpty());
    }

    @Test
    void callIsRefusedWhileTheDataCentreIsOut() {
        sendHeartbeat("a", 0);
        evacuate(true, 1);
        call("a");
        assertEquals(
                NotRunReason.NOT_RUN_REASON_DATA_CENTRE_OUT, mAnswers.get(0).getNotRunReason());
    }

    /**
     * All senders use a data centre again at the moment it returns to service. Its backend servers
     * may have become cold, so the slow start limit applies until their next heartbeat.
     */
    @Test
    void backendServerCountsAsColdAfterItsDataCentreWasOutUntilItReports() {
        sendHeartbeat("a", 0);
        evacuate(true, 1);
        mClock.advanceMillis(1000);
        evacuate(false, 2);
        for (int i = 0; i < 40; i++) {
            call("a");
            mTimers.advance(10);
        }
        assertTrue(mForwarded.size() <= 7, mForwarded.size() + " in 0.4 s");
        sendHeartbeat("a", 0);
        int before = mForwarded.size();
        for (int i = 0; i < 40; i++) {
            call("a");
            mTimers.advance(10);
        }
        assertTrue(mForwarded.size() - before >= 40, "no limit once it reports that it is warm");
    }
}
