package org.oriolewind.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import org.oriolewind.loadbalancing.Fleet;
import org.oriolewind.policy.RolloutPhase;
import org.oriolewind.policy.RolloutSpec;
import org.oriolewind.time.FakeClock;
import org.oriolewind.wire.BackendEntry;
import org.oriolewind.wire.BackendPhase;
import org.oriolewind.wire.NodeStatus;

/**
 * Simulates a rollout of a service with its calls and backend servers. Several nodes, each with a
 * tracker of its own, report their counts to each other.
 */
final class RolloutSimulation {
    static final long DURATION_MILLIS = 16_000;
    static final String SERVICE = "s";
    static final String ROUTE = "r";
    static final String RARE_ROUTE = "rare";

    private static final RolloutSpec SPEC =
            new RolloutSpec(SERVICE, "v2", DURATION_MILLIS, 7, 9, Optional.empty());
    private static final int NODES = 8;
    private static final int SERVERS = 4;
    private static final int SLOTS = 6;
    private static final double RARE_SHARE = 0.3;
    private static final double MEAN_MILLIS = 160;
    private static final double BASE_FAILURE_RATE = 0.004;
    private static final long STEP_MILLIS = 10;
    private static final long TICK_MILLIS = 100;
    private static final long WRITE_MILLIS = 50;

    /** Downtime of a node that restarts. */
    private static final long RESTART_MILLIS = 1500;

    /** Time after the time limit for which calls continue. */
    private static final long AFTER_MILLIS = 8000;

    /** Number of bad responses after which calls to a bad version have to end. */
    private static final int MANY_BAD_RESPONSES = 50;

    /** Behaviour of the new version, by default that of a good one. */
    interface Behaviour {
        /**
         * Returns the probability that a call fails.
         *
         * @param elapsedMillis time since the order
         * @param inFlight calls at the backend server, this one included
         * @param route the call's route
         * @return the probability, between 0 and 1
         */
        default double failureRate(long elapsedMillis, int inFlight, String route) {
            return BASE_FAILURE_RATE;
        }

        /**
         * Returns the factor by which a call takes longer than usual.
         *
         * @param elapsedMillis time since the order
         * @param inFlight calls at the backend server, this one included
         * @return the factor, 1 for no change
         */
        default double latencyFactor(long elapsedMillis, int inFlight) {
            return 1;
        }
    }

    /**
     * Result of a simulation.
     *
     * @param phase the outcome, empty if there was none
     * @param outcomeMillis when it was written
     * @param newCalls calls to the new version until the time limit
     * @param allCalls all calls until the time limit
     * @param newCallsLater calls to the new version later than 5 s after its 50th bad response
     */
    record Result(
            Optional<RolloutPhase> phase,
            long outcomeMillis,
            int newCalls,
            int allCalls,
            int newCallsLater) {}

    private final class Server {
        final boolean mNew;
        final String mNode;
        int mInFlight;

        Server(boolean isNew, int index) {
            mNew = isNew;
            mNode = (isNew ? "new-" : "old-") + index;
        }

        NodeStatus status() {
            return NodeStatus.newBuilder()
                    .setNode(mNode)
                    .setIncarnation(1)
                    .setSequence(++mSequence)
                    .setDataCentre("dc")
                    .setPeerAddress(mNode)
                    .setLimit(SLOTS)
                    .setInFlight(mInFlight)
                    .setBackend(
                            BackendEntry.newBuilder()
                                    .setInstanceId("i-" + mNode)
                                    .setService(SERVICE)
                                    .setVersion(mNew ? "v2" : "v1")
                                    .setPhase(BackendPhase.BACKEND_PHASE_READY)
                                    .setSlots(SLOTS))
                    .build();
        }
    }

    /** One incarnation of a node. */
    private final class Node {
        final String mName;
        final long mIncarnation;
        final Fleet mFleet = new Fleet(mClock, "dc1");
        final RolloutTracker mTracker =
                new RolloutTracker(
                        mClock,
                        mRandom,
                        mFleet,
                        new ExposureLimit(0.1, 50),
                        (service, version, state, inputs) ->
                                mStateChanges.add(elapsed() + " " + state + "; " + inputs));
        final OutcomeWriteSchedule mWriteSchedule = new OutcomeWriteSchedule(mClock);
        long mUpSinceMillis;
        long mReportedMillis;

        Node(int index, long upSinceMillis) {
            mName = "node-" + index;
            mIncarnation = upSinceMillis;
            mUpSinceMillis = upSinceMillis;
        }

        boolean isUp() {
            return mClock.monotonicMillis() >= mUpSinceMillis;
        }

        NodeStatus status() {
            return NodeStatus.newBuilder()
                    .setNode(mName)
                    .setIncarnation(mIncarnation)
                    .setSequence(++mSequence)
                    .addAllTrialCounts(mTracker.counts())
                    .addAllTrialProgress(mTracker.progress())
                    .build();
        }
    }

    private record Call(
            Node node,
            Server server,
            String route,
            VersionSelection selection,
            boolean failed,
            long micros,
            long endMillis) {}

    private final FakeClock mClock = new FakeClock();
    private final Random mRandom;
    private final Behaviour mNewVersion;
    private final int mCallsPerSecond;
    private final List<Node> mNodes = new ArrayList<>();
    private final List<Server> mServers = new ArrayList<>();
    private final PriorityQueue<Call> mCalls =
            new PriorityQueue<>((a, b) -> Long.compare(a.endMillis(), b.endMillis()));
    private final Map<Integer, List<Long>> mRestarts = new HashMap<>();
    private final List<String> mStateChanges = new ArrayList<>();
    private long mSequence;
    private Optional<RolloutPhase> mPhase = Optional.empty();
    private long mOutcomeMillis;
    private int mNewCalls;
    private int mAllCalls;
    private int mBadResponses;
    private long mManyBadResponsesMillis = Long.MAX_VALUE / 2;
    private int mNewCallsLater;

    RolloutSimulation(long seed, int callsPerSecond, Behaviour newVersion) {
        mRandom = new Random(seed);
        mCallsPerSecond = callsPerSecond;
        mNewVersion = newVersion;
        for (int i = 0; i < SERVERS; i++) {
            mServers.add(new Server(false, i));
            mServers.add(new Server(true, i));
        }
    }

    /** Restarts the nodes one after another, the first one at the given time after the order. */
    RolloutSimulation restartInTurn(long fromMillis, long gapMillis) {
        for (int i = 0; i < NODES; i++) {
            mRestarts.computeIfAbsent(i, k -> new ArrayList<>()).add(fromMillis + i * gapMillis);
        }
        return this;
    }

    private long elapsed() {
        return mClock.monotonicMillis();
    }

    Result run() {
        for (int i = 0; i < NODES; i++) {
            Node node = new Node(i, 0);
            mNodes.add(node);
            node.mTracker.onSpecs(Map.of(SERVICE, SPEC));
        }
        long end = DURATION_MILLIS + AFTER_MILLIS;
        while (elapsed() < end) {
            if (elapsed() % TICK_MILLIS == 0) {
                tick();
            }
            mClock.advanceMillis(STEP_MILLIS);
            while (!mCalls.isEmpty() && mCalls.peek().endMillis() <= elapsed()) {
                onCallEnd(mCalls.poll());
            }
            double expected = mCallsPerSecond * STEP_MILLIS / 1000.0;
            int arrivals = (int) expected;
            arrivals += mRandom.nextDouble() < expected - arrivals ? 1 : 0;
            for (int i = 0; i < arrivals; i++) {
                startCall();
            }
        }
        return new Result(mPhase, mOutcomeMillis, mNewCalls, mAllCalls, mNewCallsLater);
    }

    /** Returns the state changes of the rollout at all nodes, in order. */
    List<String> stateChanges() {
        return mStateChanges;
    }

    private void tick() {
        mRestarts.forEach(
                (index, times) -> {
                    if (times.contains(elapsed())) {
                        Node node = new Node(index, elapsed() + RESTART_MILLIS);
                        node.mTracker.onSpecs(Map.of(SERVICE, spec()));
                        mNodes.set(index, node);
                    }
                });
        List<NodeStatus> loads = mServers.stream().map(Server::status).toList();
        int rank = 0;
        for (Node node : mNodes) {
            if (node.isUp()) {
                loads.forEach(node.mFleet::onStatus);
                decide(node, rank++);
                report(node);
            }
        }
    }

    private void decide(Node node, int rank) {
        for (RolloutTracker.Outcome outcome :
                node.mWriteSchedule.dueOutcomes(node.mTracker.evaluate(), rank)) {
            if (mPhase.isEmpty()) {
                mPhase = Optional.of(outcome.phase());
                mOutcomeMillis = elapsed();
            }
        }
        if (mPhase.isPresent() && elapsed() >= mOutcomeMillis + WRITE_MILLIS) {
            node.mTracker.onSpecs(Map.of(SERVICE, spec()));
        }
    }

    private RolloutSpec spec() {
        return new RolloutSpec(SERVICE, "v2", DURATION_MILLIS, SPEC.orderId(), 10, mPhase);
    }

    private void report(Node node) {
        long due = node.mTracker.reportIntervalMillis().orElse(Long.MAX_VALUE);
        if (elapsed() - node.mReportedMillis < due) {
            return;
        }
        node.mReportedMillis = elapsed();
        NodeStatus status = node.status();
        mNodes.stream()
                .filter(other -> other != node && other.isUp())
                .forEach(other -> other.mTracker.onStatus(status));
    }

    private void startCall() {
        List<Node> up = mNodes.stream().filter(Node::isUp).toList();
        Node node = up.get(mRandom.nextInt(up.size()));
        VersionSelection selection = node.mTracker.select(SERVICE);
        Server server = choose(node, selection);
        server.mInFlight++;
        String route = mRandom.nextDouble() < RARE_SHARE ? RARE_ROUTE : ROUTE;
        double failureRate =
                server.mNew
                        ? mNewVersion.failureRate(elapsed(), server.mInFlight, route)
                        : BASE_FAILURE_RATE;
        double latencyFactor =
                server.mNew ? mNewVersion.latencyFactor(elapsed(), server.mInFlight) : 1;
        double millis =
                MEAN_MILLIS * Math.exp(mRandom.nextGaussian() * 0.5 - 0.125) * latencyFactor;
        boolean failed = mRandom.nextDouble() < failureRate;
        countNew(server);
        mCalls.add(
                new Call(
                        node,
                        server,
                        route,
                        selection,
                        failed,
                        (long) (millis * 1000),
                        elapsed() + (long) millis));
    }

    private void countNew(Server server) {
        if (elapsed() <= DURATION_MILLIS) {
            mAllCalls++;
            mNewCalls += server.mNew ? 1 : 0;
        }
        if (server.mNew && elapsed() > mManyBadResponsesMillis + 5000) {
            mNewCallsLater++;
        }
    }

    private Server choose(Node node, VersionSelection selection) {
        boolean toNew =
                selection == VersionSelection.CANARY || selection == VersionSelection.NEW_FIRST;
        Optional<Server> probed =
                mServers.stream()
                        .filter(s -> node.mTracker.probedNode(SERVICE).equals(Optional.of(s.mNode)))
                        .filter(s -> s.mInFlight < SLOTS)
                        .findFirst();
        if (selection == VersionSelection.PROBE && probed.isPresent()) {
            return probed.get();
        }
        List<Server> allowed = mServers.stream().filter(s -> s.mNew == toNew).toList();
        Server one = allowed.get(mRandom.nextInt(SERVERS));
        Server other = allowed.get(mRandom.nextInt(SERVERS));
        return one.mInFlight <= other.mInFlight ? one : other;
    }

    private void onCallEnd(Call call) {
        call.server().mInFlight--;
        boolean bad = call.server().mNew && (call.failed() || call.micros() > 3_000_000);
        mBadResponses += bad ? 1 : 0;
        if (mBadResponses == MANY_BAD_RESPONSES && bad) {
            mManyBadResponsesMillis = elapsed();
        }
        // Calls that were in progress at a node when it ended are not counted.
        if (mNodes.contains(call.node())) {
            call.node()
                    .mTracker
                    .count(
                            SERVICE,
                            call.server().mNew ? "v2" : "v1",
                            call.route(),
                            call.selection(),
                            new CallMeasurement(call.failed(), false, call.micros()));
        }
    }
}
