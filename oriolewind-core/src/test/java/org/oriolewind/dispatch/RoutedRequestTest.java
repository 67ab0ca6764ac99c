package org.oriolewind.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.oriolewind.loadbalancing.Fleet;
import org.oriolewind.loadbalancing.NodeSelector;
import org.oriolewind.loadbalancing.ServiceRetryBudget;
import org.oriolewind.loadbalancing.WeightedServiceSelector;
import org.oriolewind.policy.DocumentKind;
import org.oriolewind.policy.FakeDecoder;
import org.oriolewind.policy.OperatorDocumentCache;
import org.oriolewind.policy.RetrySafety;
import org.oriolewind.policy.RolloutSpec;
import org.oriolewind.request.CallAnswers;
import org.oriolewind.request.Cancellable;
import org.oriolewind.rollout.ExposureLimit;
import org.oriolewind.rollout.RolloutTracker;
import org.oriolewind.time.FakeClock;
import org.oriolewind.time.FakeTimers;
import org.oriolewind.wire.BackendEntry;
import org.oriolewind.wire.BackendPhase;
import org.oriolewind.wire.CallAnswer;
import org.oriolewind.wire.CallOutcome;
import org.oriolewind.wire.CallRequest;
import org.oriolewind.wire.NodeStatus;
import org.oriolewind.wire.NotRunReason;

class RoutedRequestTest {
    private static final String SAFE = "/safe/";
    private static final String UNSAFE = "/unsafe/";

    private final FakeClock mClock = new FakeClock();
    private final FakeTimers mTimers = new FakeTimers(mClock);
    private final Fleet mFleet = new Fleet(mClock, "dc1");
    private final OperatorDocumentCache mDocuments =
            new OperatorDocumentCache(
                    new FakeDecoder(
                            List.of(
                                    FakeDecoder.route(SAFE, RetrySafety.SAFE, "s"),
                                    FakeDecoder.route(UNSAFE, RetrySafety.UNSAFE, "s"))),
                    kind -> {});
    private final List<SentCall> mSentCalls = new ArrayList<>();
    private final List<ClientReply> mReplies = new ArrayList<>();
    private final RolloutTracker mRollouts =
            new RolloutTracker(
                    mClock,
                    new Random(1),
                    mFleet,
                    new ExposureLimit(0.1, 50),
                    (service, version, state, inputs) -> {});
    private int mCancellations;
    private RequestRouter mRouter;

    private record SentCall(String address, CallRequest request, Consumer<CallAnswer> done) {}

    private final class NoOpRequestLog implements RequestLog {
        @Override
        public void ended(
                ClientRequest request,
                String route,
                String outcome,
                Supplier<String> detail,
                long millis) {
            // Tests check the replies instead.
        }

        @Override
        public void retried(String requestId, String node, String reason) {
            // Tests check the calls sent to peers instead.
        }

        @Override
        public void failedLocally(String requestId, String instance, String reason, long millis) {
            // No call reaches a local backend server in these tests.
        }

        @Override
        public void unusualResponse(
                String requestId, String instance, UnusualResponse kind, Supplier<String> detail) {
            // The backend servers of these tests answer as they should.
        }
    }

    @BeforeEach
    void createRouter() {
        mRouter =
                new RequestRouter(
                        new DispatchContext(
                                "self",
                                () -> "caller",
                                mClock,
                                mTimers,
                                new Random(1),
                                mDocuments,
                                new NodeSelector("dc", mClock, new Random(1), mFleet),
                                new WeightedServiceSelector(),
                                new ServiceRetryBudget(mClock, 0.2, 60, 10_000, () -> 1),
                                mRollouts,
                                (request, done) -> send("self", request, done),
                                this::send,
                                new NoOpRequestLog()));
        for (String node : List.of("a", "b", "c")) {
            mFleet.onStatus(
                    NodeStatus.newBuilder()
                            .setNode(node)
                            .setIncarnation(1)
                            .setSequence(1)
                            .setDataCentre("dc")
                            .setPeerAddress(node)
                            .setLimit(4)
                            .setBackend(
                                    BackendEntry.newBuilder()
                                            .setInstanceId("i-" + node)
                                            .setService("s")
                                            .setVersion("v1")
                                            .setPhase(BackendPhase.BACKEND_PHASE_READY)
                                            .setSlots(4))
                            .build());
        }
    }

    private Cancellable send(String address, CallRequest request, Consumer<CallAnswer> done) {
        mSentCalls.add(new SentCall(address, request, done));
        return () -> mCancellations++;
    }

    private Cancellable dispatch(String path) {
        ClientRequest request =
                new ClientRequest(
                        "id",
                        FakeDecoder.HOST,
                        "GET",
                        path,
                        path,
                        List.of(),
                        ByteString.EMPTY,
                        OptionalLong.of(800));
        return mRouter.dispatch(request, mReplies::add);
    }

    private void installConfig() {
        mDocuments.replace(DocumentKind.CONFIG, 1, List.of(FakeDecoder.document("main", 1, "1")));
    }

    private void answer(int sentCall, CallAnswer answer) {
        mSentCalls.get(sentCall).done().accept(answer);
    }

    private static CallAnswer answered(int status) {
        return CallAnswer.newBuilder()
                .setOutcome(CallOutcome.CALL_OUTCOME_ANSWERED)
                .setStatus(status)
                .build();
    }

    @Test
    void requestBeforeTheFirstConfigurationIsNotRun() {
        dispatch(SAFE + "x");
        assertInstanceOf(ClientReply.NotRun.class, mReplies.get(0));
    }

    @Test
    void unknownPathHasNoRoute() {
        installConfig();
        dispatch("/other/");
        assertInstanceOf(ClientReply.NoRoute.class, mReplies.get(0));
    }

    @Test
    void callNamesTheInstanceAndTheTimeLeft() {
        installConfig();
        dispatch(SAFE + "x");
        CallRequest request = mSentCalls.get(0).request();
        assertEquals("i-" + mSentCalls.get(0).address(), request.getTargetInstance());
        assertEquals(800, request.getTimeoutMillis());
        assertEquals("caller", request.getCallerService());
    }

    @Test
    void unsafeRequestWithUnknownOutcomeIsNotRetried() {
        installConfig();
        dispatch(UNSAFE + "x");
        answer(0, CallAnswers.unknown());
        assertEquals(1, mSentCalls.size());
        assertInstanceOf(ClientReply.Unknown.class, mReplies.get(0));
    }

    /**
     * A peer is unresponsive for most of a second while its backend server still processes the
     * request.
     */
    @Test
    void requestAtAnUnresponsivePeerWaitsIfNoOtherNodeIsAvailable() {
        installConfig();
        dispatch(SAFE + "x");
        for (String node : List.of("a", "b", "c")) {
            mFleet.onPeerUnresponsive(node);
        }
        mRouter.onPeerUnresponsive(mSentCalls.get(0).address());
        assertTrue(mReplies.isEmpty());
        assertEquals(0, mCancellations);
        answer(0, answered(200));
        assertEquals(200, ((ClientReply.Answered) mReplies.get(0)).status());
    }

    @Test
    void safeRequestAtAnUnresponsivePeerIsRetriedOnce() {
        installConfig();
        dispatch(SAFE + "x");
        mRouter.onPeerUnresponsive(mSentCalls.get(0).address());
        mRouter.onPeerUnresponsive(mSentCalls.get(0).address());
        assertEquals(2, mSentCalls.size());
        assertEquals(0, mCancellations, "the peer may still answer");
        mRouter.onPeerUnresponsive(mSentCalls.get(1).address());
        assertEquals(2, mSentCalls.size(), "no more backend servers than the route allows");
        answer(1, answered(200));
        assertEquals(1, mReplies.size());
        assertEquals(1, mCancellations);
        answer(0, answered(200));
        assertEquals(1, mReplies.size());
    }

    /** Guards against giving up a running request before another node has accepted it. */
    @ParameterizedTest
    @EnumSource(
            value = NotRunReason.class,
            names = {
                "NOT_RUN_REASON_OVERLOADED",
                "NOT_RUN_REASON_EXPIRED",
                "NOT_RUN_REASON_REFUSED_BY_BACKEND"
            })
    void requestAtAnUnresponsivePeerIsAwaitedIfItsRetryIsRefused(NotRunReason reason) {
        installConfig();
        dispatch(SAFE + "x");
        mRouter.onPeerUnresponsive(mSentCalls.get(0).address());
        // The last one is sent to the third node, unless the reason allows no further retry.
        for (int i = 1; i < mSentCalls.size(); i++) {
            answer(i, CallAnswers.notRun(reason));
        }
        assertEquals(List.of(), mReplies);
        assertEquals(0, mCancellations);
        answer(0, answered(200));
        assertEquals(200, ((ClientReply.Answered) mReplies.get(0)).status());
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void requestAtAnUnresponsivePeerIsAwaitedIfItsRetryFails(boolean answered) {
        installConfig();
        dispatch(SAFE + "x");
        mRouter.onPeerUnresponsive(mSentCalls.get(0).address());
        answer(1, answered ? answered(500) : CallAnswers.unknown());
        assertEquals(2, mSentCalls.size());
        assertEquals(List.of(), mReplies);
        answer(0, answered(200));
        assertEquals(200, ((ClientReply.Answered) mReplies.get(0)).status());
    }

    @Test
    void answerOfAnUnresponsivePeerCancelsTheRetry() {
        installConfig();
        dispatch(SAFE + "x");
        mRouter.onPeerUnresponsive(mSentCalls.get(0).address());
        answer(0, answered(200));
        assertEquals(200, ((ClientReply.Answered) mReplies.get(0)).status());
        assertEquals(1, mCancellations);
    }

    @Test
    void refusalOfAnUnresponsivePeerLeavesTheRetryOpen() {
        installConfig();
        dispatch(SAFE + "x");
        mRouter.onPeerUnresponsive(mSentCalls.get(0).address());
        answer(0, CallAnswers.notRun(NotRunReason.NOT_RUN_REASON_OVERLOADED));
        assertEquals(2, mSentCalls.size());
        assertEquals(List.of(), mReplies);
        answer(1, CallAnswers.notRun(NotRunReason.NOT_RUN_REASON_EXPIRED));
        assertInstanceOf(ClientReply.NotRun.class, mReplies.get(0));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void allOpenAttemptsEndWithTheRequest(boolean clientDisconnects) {
        installConfig();
        Cancellable request = dispatch(SAFE + "x");
        mRouter.onPeerUnresponsive(mSentCalls.get(0).address());
        if (clientDisconnects) {
            request.cancel();
        } else {
            mTimers.advance(900);
            assertEquals(List.of(new ClientReply.Unknown(true)), mReplies);
        }
        assertEquals(2, mCancellations);
    }

    @Test
    void unsafeRequestAtAnUnresponsivePeerKeepsWaiting() {
        installConfig();
        dispatch(UNSAFE + "x");
        mRouter.onPeerUnresponsive(mSentCalls.get(0).address());
        assertEquals(1, mSentCalls.size());
        assertTrue(mReplies.isEmpty());
    }

    @Test
    void safeRequestWithUnknownOutcomeIsRetriedOnAnotherNode() {
        installConfig();
        dispatch(SAFE + "x");
        answer(0, CallAnswers.unknown());
        assertEquals(2, mSentCalls.size());
        assertTrue(!mSentCalls.get(0).address().equals(mSentCalls.get(1).address()));
        answer(1, answered(200));
        assertEquals(200, ((ClientReply.Answered) mReplies.get(0)).status());
    }

    @Test
    void refusalAfterAnUnknownOutcomeIsUnknown() {
        installConfig();
        dispatch(SAFE + "x");
        answer(0, CallAnswers.unknown());
        answer(1, CallAnswers.notRun(NotRunReason.NOT_RUN_REASON_EXPIRED));
        assertInstanceOf(ClientReply.Unknown.class, mReplies.get(0));
    }

    @ParameterizedTest
    @EnumSource(
            value = NotRunReason.class,
            names = {
                "NOT_RUN_REASON_OVERLOADED",
                "NOT_RUN_REASON_LEAVING",
                "NOT_RUN_REASON_WRONG_TARGET",
                "NOT_RUN_REASON_UNREACHABLE",
                "NOT_RUN_REASON_DATA_CENTRE_OUT",
                "NOT_RUN_REASON_REFUSED_BY_BACKEND"
            })
    void unsafeRequestThatProvablyDidNotRunIsRetried(NotRunReason reason) {
        installConfig();
        dispatch(UNSAFE + "x");
        answer(0, CallAnswers.notRun(reason));
        assertEquals(2, mSentCalls.size());
        answer(1, answered(200));
        assertInstanceOf(ClientReply.Answered.class, mReplies.get(0));
    }

    @Test
    void requestRefusedByAllNodesIsNotRun() {
        installConfig();
        dispatch(UNSAFE + "x");
        for (int i = 0; i < 3; i++) {
            answer(i, CallAnswers.notRun(NotRunReason.NOT_RUN_REASON_OVERLOADED));
        }
        assertEquals(3, mSentCalls.size());
        assertInstanceOf(ClientReply.NotRun.class, mReplies.get(0));
    }

    @Test
    void safeRequestIsForwardedAtMostMaxAttemptsTimes() {
        installConfig();
        dispatch(SAFE + "x");
        answer(0, answered(500));
        answer(1, answered(500));
        assertEquals(2, mSentCalls.size());
        assertEquals(500, ((ClientReply.Answered) mReplies.get(0)).status());
    }

    @Test
    void firstAnswerIsReturnedIfTheRetryIsRefused() {
        installConfig();
        dispatch(SAFE + "x");
        answer(0, answered(500));
        answer(1, CallAnswers.notRun(NotRunReason.NOT_RUN_REASON_EXPIRED));
        assertEquals(500, ((ClientReply.Answered) mReplies.get(0)).status());
    }

    /** All backend servers of a service fail half of their calls, and retries add to the load. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void requestIsNotRetriedIfAllBackendServersFail(boolean shed) {
        for (String node : List.of("a", "b", "c")) {
            NodeStatus latest = mFleet.member(node).orElseThrow().status();
            mFleet.onStatus(latest.toBuilder().setSequence(2).setFailurePermille(500).build());
        }
        installConfig();
        dispatch(SAFE + "x");
        answer(
                0,
                shed
                        ? CallAnswers.notRun(NotRunReason.NOT_RUN_REASON_REFUSED_BY_BACKEND)
                        : answered(500));
        assertEquals(1, mSentCalls.size());
        assertEquals(1, mReplies.size());
    }

    @Test
    void serverErrorOfAnUnsafeRequestIsForwarded() {
        installConfig();
        dispatch(UNSAFE + "x");
        answer(0, answered(500));
        assertEquals(1, mSentCalls.size());
        assertEquals(500, ((ClientReply.Answered) mReplies.get(0)).status());
    }

    @Test
    void requestWithoutAnswerEndsAtTheDeadline() {
        installConfig();
        dispatch(UNSAFE + "x");
        mTimers.advance(900);
        assertEquals(1, mReplies.size());
        assertEquals(new ClientReply.Unknown(true), mReplies.get(0));
        assertEquals(1, mCancellations);
        answer(0, answered(200));
        assertEquals(1, mReplies.size());
    }

    @Test
    void disconnectedClientCancelsTheCallAndGetsNoReply() {
        installConfig();
        Cancellable request = dispatch(SAFE + "x");
        request.cancel();
        assertEquals(1, mCancellations);
        answer(0, CallAnswers.unknown());
        assertEquals(1, mSentCalls.size());
        assertTrue(mReplies.isEmpty());
    }

    /** Guards against requests that are cut without an answer when the process ends. */
    @ParameterizedTest
    @ValueSource(strings = {SAFE, UNSAFE})
    void openRequestIsAnsweredBeforeTheShutdown(String path) {
        installConfig();
        dispatch(path);
        mRouter.beginShutdown(mClock.monotonicMillis() + 500);
        mTimers.advance(499);
        assertEquals(List.of(), mReplies);
        mTimers.advance(1);
        assertEquals(List.of(new ClientReply.Unknown(false)), mReplies);
        assertEquals(1, mCancellations);
    }

    @Test
    void requestDuringTheShutdownHasTheTimeThatIsLeft() {
        installConfig();
        mRouter.beginShutdown(mClock.monotonicMillis() + 700);
        dispatch(UNSAFE);
        assertEquals(660, mSentCalls.get(0).request().getTimeoutMillis());
        answer(0, CallAnswers.notRun(NotRunReason.NOT_RUN_REASON_EXPIRED));
        assertInstanceOf(ClientReply.NotRun.class, mReplies.get(0));
    }

    @Test
    void requestThatIsNotLikelyToEndBeforeTheShutdownIsNotRun() {
        installConfig();
        mRouter.beginShutdown(mClock.monotonicMillis() + 500);
        dispatch(UNSAFE);
        assertEquals(0, mSentCalls.size());
        assertInstanceOf(ClientReply.NotRun.class, mReplies.get(0));
    }

    private void startRollout() {
        installConfig();
        mRollouts.onSpecs(Map.of("s", new RolloutSpec("s", "v2", 16_000, 1, 1, Optional.empty())));
    }

    /**
     * Guards against a slow version passing its rollout because calls past their deadline are not
     * counted.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void callPastItsDeadlineCountsAgainstItsVersion(boolean clientDisconnects) {
        startRollout();
        Cancellable request = dispatch(UNSAFE);
        mClock.advanceMillis(800);
        if (clientDisconnects) {
            request.cancel();
        }
        mTimers.advance(100);
        assertEquals(1, mRollouts.counts().get(0).getFailures());
    }

    @Test
    void callCancelledEarlyIsNotCountedForItsVersion() {
        startRollout();
        Cancellable request = dispatch(UNSAFE);
        mClock.advanceMillis(100);
        request.cancel();
        assertEquals(List.of(), mRollouts.counts());
    }
}
