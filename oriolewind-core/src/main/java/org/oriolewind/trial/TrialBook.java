package org.oriolewind.trial;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.oriolewind.placement.Fleet;
import org.oriolewind.policy.TrialOrder;
import org.oriolewind.policy.TrialPhase;
import org.oriolewind.time.NodeClock;
import org.oriolewind.wire.EvidenceCount;
import org.oriolewind.wire.NodeStatus;
import org.oriolewind.wire.TrialProgress;

/** The trials that operators ordered, by service. Not safe for use by several threads. */
public final class TrialBook {
    private final NodeClock mClock;
    private final RandomGenerator mRandom;
    private final ProbeChooser mProbes;
    private final ExposureBound mBound;
    private final TrialLog mLog;
    private final Map<String, Trial> mTrials = new HashMap<>();

    /**
     * An outcome to be written.
     *
     * @param order the order it belongs to
     * @param phase the outcome
     * @param reason why the version was found bad, empty if it was not
     */
    public record Outcome(TrialOrder order, TrialPhase phase, String reason) {}

    /**
     * Creates an empty book.
     *
     * @param clock the clock
     * @param random source of choices
     * @param fleet the nodes, whose backend servers are probed
     * @param bound calls that may reach a version on trial
     * @param log takes what is believed of trials
     */
    public TrialBook(
            NodeClock clock,
            RandomGenerator random,
            Fleet fleet,
            ExposureBound bound,
            TrialLog log) {
        mClock = clock;
        mRandom = random;
        mProbes = new ProbeChooser(fleet);
        mBound = bound;
        mLog = log;
    }

    /**
     * Takes the orders in force.
     *
     * @param orders the orders by service
     */
    public void onOrders(Map<String, TrialOrder> orders) {
        mTrials.keySet().retainAll(orders.keySet());
        orders.forEach(this::onOrder);
    }

    private void onOrder(String service, TrialOrder order) {
        Trial trial = mTrials.get(service);
        if (trial != null && trial.order().isSame(order)) {
            trial.update(order);
        } else {
            mTrials.put(service, new Trial(order, mClock.monotonicMillis(), mBound, mLog));
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
            Trial trial = mTrials.get(progress.getService());
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
    public TrialShare share(String service) {
        Trial trial = mTrials.get(service);
        return trial == null ? TrialShare.ANY : trial.share(mRandom);
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
        return Optional.ofNullable(mTrials.get(service)).flatMap(Trial::probed);
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
    public void count(String service, String version, String route, TrialShare share, CallEnd end) {
        Trial trial = mTrials.get(service);
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
    public Optional<Long> reportMillis() {
        return open().stream().map(trial -> trial.stage().reportMillis()).min(Long::compare);
    }

    private List<Trial> open() {
        return mTrials.values().stream().filter(Trial::isOpen).toList();
    }

    /**
     * Judges the trials that run. To be called several times a second.
     *
     * @return the outcomes that are due
     */
    public List<Outcome> judge() {
        long now = mClock.monotonicMillis();
        List<Outcome> outcomes = new ArrayList<>();
        for (Trial trial : open()) {
            TrialOrder order = trial.order();
            trial.judge(mProbes.choose(order.service(), order.targetVersion()), now);
            trial.due(now)
                    .ifPresent(phase -> outcomes.add(new Outcome(order, phase, trial.fault())));
        }
        return outcomes;
    }
}
