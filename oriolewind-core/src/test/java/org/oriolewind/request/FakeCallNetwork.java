package org.oriolewind.request;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Consumer;
import org.oriolewind.admission.Gate;
import org.oriolewind.admission.GateSettings;
import org.oriolewind.admission.LimitRule;
import org.oriolewind.analysis.EvidenceCollector;
import org.oriolewind.analysis.LocalVersionStops;
import org.oriolewind.config.InstalledConfig;
import org.oriolewind.config.TestNotes;
import org.oriolewind.membership.MemberTable;
import org.oriolewind.routing.RetryBudget;
import org.oriolewind.time.FakeClock;
import org.oriolewind.wire.CallAnswer;
import org.oriolewind.wire.CallRequest;
import org.oriolewind.wire.Member;
import org.oriolewind.wire.MemberState;
import org.oriolewind.wire.NotRunReason;

/**
 * A simulated network of nodes that injects faults at every step of a call, in an order that the
 * seed determines. Counts how often each call ran.
 */
final class FakeCallNetwork {
    final FakeClock mClock = new FakeClock();
    final Map<String, Integer> mRuns = new HashMap<>();
    final List<FakeCallNode> mNodes = new ArrayList<>();
    KeyClaimSender mKeyClaimSender = KeyClaimSender.NONE;
    private final Random mRandom;
    private final double mFaultShare;
    private final PriorityQueue<Work> mQueue = new PriorityQueue<>();
    private long mOrder;

    private record Work(long atMillis, long order, Runnable run) implements Comparable<Work> {
        @Override
        public int compareTo(Work other) {
            int byTime = Long.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    FakeCallNetwork(long seed, int nodes, double faultShare) throws Exception {
        mRandom = new Random(seed);
        mFaultShare = faultShare;
        InstalledConfig config = new InstalledConfig();
        config.install(TestNotes.base());
        MemberTable members = new MemberTable();
        for (int i = 0; i < nodes; i++) {
            Member member =
                    Member.newBuilder()
                            .setNode("n" + i)
                            .setIncarnation(1)
                            .setSequence(1)
                            .setState(MemberState.MEMBER_STATE_UP)
                            .setDataCentre("dc" + i % 2)
                            .setService(i % 2 == 0 || i % 3 == 0 ? "press" : "holders")
                            .setServiceVersion("v1")
                            .setPeerAddress("n" + i)
                            .build();
            members.merge(List.of(member), 0);
            mNodes.add(new FakeCallNode(this, member, config, members));
        }
    }

    /** A node with its admission gate, backend server and dispatcher. */
    static final class FakeCallNode implements BackendCallSender {
        final Member mMember;
        final GatedCallServer mServer;
        final CallDispatcher mDispatcher;
        private final FakeCallNetwork mNetwork;

        FakeCallNode(
                FakeCallNetwork network,
                Member member,
                InstalledConfig config,
                MemberTable members) {
            mNetwork = network;
            mMember = member;
            FakeClock clock = network.mClock;
            CallContext context =
                    new CallContext(
                            member,
                            clock,
                            network.mRandom,
                            config,
                            new CallEventSampler(event -> {}, 0),
                            CallObserver.NONE);
            GateSettings settings =
                    new GateSettings(LimitRule.ADDITIVE, 2, 1, 8, 4, Duration.ofMillis(50));
            mServer =
                    new GatedCallServer(
                            context, new Gate(settings, clock), this, new PassiveHealth(clock));
            mDispatcher =
                    new CallDispatcher(
                            context,
                            members::directory,
                            new RetryBudget(0.5, 20),
                            mServer,
                            network::send,
                            new EvidenceCollector(),
                            new LocalVersionStops(event -> {}),
                            network.mKeyClaimSender);
        }

        @Override
        public Cancellable send(CallRequest call, long timeoutMillis, Listener listener) {
            return mNetwork.backend(call, listener);
        }
    }

    private boolean fault() {
        return mRandom.nextDouble() < mFaultShare;
    }

    void after(long millis, Runnable run) {
        mQueue.add(new Work(mClock.monotonicMillis() + millis, mOrder++, run));
    }

    void run(long millis) {
        long end = mClock.monotonicMillis() + millis;
        while (!mQueue.isEmpty() && mQueue.peek().atMillis() <= end) {
            Work work = mQueue.poll();
            mClock.advanceMillis(work.atMillis() - mClock.monotonicMillis());
            work.run().run();
            mNodes.forEach(node -> node.mServer.gate().tick());
        }
        mClock.advanceMillis(Math.max(0, end - mClock.monotonicMillis()));
        mNodes.forEach(node -> node.mServer.gate().tick());
    }

    /**
     * Sends a call to another node. Fails before sending, after the call was sent, or on the
     * answer.
     */
    private Cancellable send(String address, CallRequest request, Consumer<CallAnswer> done) {
        FakeCallNode target = mNodes.get(Integer.parseInt(address.substring(1)));
        if (fault()) {
            after(1, () -> done.accept(unreachable()));
            return () -> {};
        }
        if (fault()) {
            // The call is lost in transit, which the sender can't detect.
            after(5, () -> done.accept(CallAnswers.unknown()));
            return () -> {};
        }
        after(1 + mRandom.nextInt(3), () -> serve(target, request, done));
        return () -> {};
    }

    private void serve(FakeCallNode target, CallRequest request, Consumer<CallAnswer> done) {
        target.mServer.serve(
                request,
                answer -> {
                    CallAnswer result = fault() ? CallAnswers.unknown() : answer;
                    after(1 + mRandom.nextInt(20), () -> done.accept(result));
                });
    }

    private static CallAnswer unreachable() {
        return CallAnswers.notRun(NotRunReason.NOT_RUN_REASON_UNREACHABLE);
    }

    /** Simulates a backend server that may fail before, during or after a call. */
    private Cancellable backend(CallRequest call, BackendCallSender.Listener listener) {
        if (fault()) {
            after(1, () -> listener.onFailure(false, false, "refused"));
        } else if (fault()) {
            after(1, () -> listener.onRefused(mRandom.nextBoolean()));
        } else if (fault()) {
            after(5, () -> listener.onFailure(true, mRandom.nextBoolean(), "reset"));
        } else {
            after(1 + mRandom.nextInt(10), () -> runCall(call, listener));
        }
        return () -> {};
    }

    private void runCall(CallRequest call, BackendCallSender.Listener listener) {
        mRuns.merge(call.getCallId(), 1, Integer::sum);
        if (fault()) {
            // The call ran, but its response is lost in whole or in part.
            listener.onFailure(true, false, "reset");
            return;
        }
        int status = fault() ? 500 : 200;
        listener.onAnswer(status, List.of(), ByteString.copyFromUtf8("done " + call.getCallId()));
    }
}
