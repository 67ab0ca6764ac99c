package org.oriolewind.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.oriolewind.loadbalancing.Fleet;
import org.oriolewind.policy.RolloutPhase;
import org.oriolewind.policy.RolloutSpec;
import org.oriolewind.time.NodeClock;
import org.oriolewind.wire.EvidenceCount;
import org.oriolewind.wire.NodeStatus;
import org.oriolewind.wire.TrialProgress;

/** The trials that operators ordered, by service. Not safe for use by several threads. */
public final class RolloutTracker {
    private final NodeClock mClock;
    private final RandomGenerator mRandom;
    private final LoadProbeChooser mProbes;
    private final ExposureLimit mBound;
    private final RolloutListener mLog;
    private final Map<String, Rollout> mTrials = new HashMap<>();

    /**
     * An outcome to be written.
     *
     * @param order the order it belongs to
     * @param phase the outcome
     * @param reason why the version was found bad, empty if it was not
     */
    public record Outcome(RolloutSpec order, RolloutPhase phase, String reason) {}

    /**
     * Creates an empty book.
     *
     * @param clock the clock
     * @param random source of choices
     * @param fleet the nodes, whose backend servers are probed
     * @param bound calls that may reach a version on trial
     * @param log takes what is believed of trials
     */
    public RolloutTracker(
            NodeClock clock,
            RandomGenerator random,
            Fleet fleet,
            ExposureLimit bound,
            RolloutListener log) {
        mClock = clock;
        mRandom = random;
        mProbes = new LoadProbeChooser(fleet);
        mBound = bound;
        mLog = log;
    }

    /**
     * Takes the orders in force.
     *
     * @param orders the orders by service
     */
    public void onOrders(Map<String, RolloutSpec> orders) {
        mTrials.keySet().retainAll(orders.keySet());
        orders.forEach(this::onOrder);
    }

    private void onOrder(String service, RolloutSpec order) {
        Rollout trial = mTrials.get(service);
        if (trial != null && trial.order().isSame(order)) {
            trial.update(order);
        } else {
            mTrials.put(service, new Rollout(order, mClock.monotonicMillis(), mBound, mLog));
        }
    }

    /**
     * Takes the counts and the progress that another node reports.
     *
     * @param status its whole status
     */
    public void onStatus(NodeStatus status) {
        long now = mClock.monotonicMillis();
        for (TrialProgress progress : status.getTrialProgressList()) {
            Rollout trial = mTrials.get(progress.getService());
            if (trial != null && trial.isSame(progress)) {
                List<EvidenceCount> counts =
                        status.getTrialCountsList().stream()
                                .filter(c -> c.getService().equals(progress.getService()))
                                .toList();
                trial.onCounts(status, counts);
                trial.onProgress(status.getNode(), progress, now);
            }
        }
    }

    /**
     * Returns which versions of a service may take a call.
     *
     * @param service the service
     * @return the share that the call falls in
     */
    public VersionSelection share(String service) {
        Rollout trial = mTrials.get(service);
        return trial == null ? VersionSelection.ANY : trial.share(mRandom);
    }

    /**
     * Returns the version on trial.
     *
     * @param service the service
     * @return the new version, empty if there is no trial
     */
    public Optional<String> target(String service) {
        return Optional.ofNullable(mTrials.get(service)).map(t -> t.order().targetVersion());
    }

    /**
     * Returns the node whose backend server is probed under load.
     *
     * @param service the service
     * @return its name, empty if none is
     */
    public Optional<String> probed(String service) {
        return Optional.ofNullable(mTrials.get(service)).flatMap(Rollout::probed);
    }

    /**
     * Counts the end of a call at a backend server.
     *
     * @param service the service
     * @param version the version
     * @param route the route
     * @param share the share that the call fell in
     * @param end how it ended
     */
    public void count(
            String service,
            String version,
            String route,
            VersionSelection share,
            CallMeasurement end) {
        Rollout trial = mTrials.get(service);
        if (trial != null) {
            trial.count(version, route, share, end);
        }
    }

    /**
     * Returns the counts of this node.
     *
     * @return the counts since each trial began
     */
    public List<EvidenceCount> counts() {
        return open().stream().flatMap(trial -> trial.counts().stream()).toList();
    }

    /**
     * Returns how far the trials are.
     *
     * @return the progress of each trial that runs
     */
    public List<TrialProgress> progress() {
        long now = mClock.monotonicMillis();
        return open().stream().map(trial -> trial.progress(now)).toList();
    }

    /**
     * Returns the time after which counts have to be reported to other nodes.
     *
     * @return milliseconds, empty if no trial runs
     */
    public Optional<Long> reportIntervalMillis() {
        return open().stream()
                .map(trial -> trial.stage().reportIntervalMillis())
                .min(Long::compare);
    }

    private List<Rollout> open() {
        return mTrials.values().stream().filter(Rollout::isOpen).toList();
    }

    /**
     * Judges the trials that run. To be called several times a second.
     *
     * @return the outcomes that are due
     */
    public List<Outcome> judge() {
        long now = mClock.monotonicMillis();
        List<Outcome> outcomes = new ArrayList<>();
        for (Rollout trial : open()) {
            RolloutSpec order = trial.order();
            trial.judge(mProbes.choose(order.service(), order.targetVersion()), now);
            trial.due(now)
                    .ifPresent(phase -> outcomes.add(new Outcome(order, phase, trial.fault())));
        }
        return outcomes;
    }
}
