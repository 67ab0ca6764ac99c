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

/** The rollouts that operators ordered, by service. Not thread-safe. */
public final class RolloutTracker {
    private final NodeClock mClock;
    private final RandomGenerator mRandom;
    private final LoadProbeChooser mProbeChooser;
    private final ExposureLimit mLimit;
    private final RolloutListener mListener;
    private final Map<String, Rollout> mRollouts = new HashMap<>();

    /**
     * An outcome to be written to the platform.
     *
     * @param spec the rollout
     * @param phase the outcome, a final phase
     * @param reason why the version was found bad, empty if it was found good
     */
    public record Outcome(RolloutSpec spec, RolloutPhase phase, String reason) {}

    /**
     * Creates a tracker without rollouts.
     *
     * @param clock the clock, of which the monotonic time is used
     * @param random source of the random selection of calls
     * @param fleet the nodes with the backend servers that are probed under load
     * @param limit limit on the calls to a version that is not found good yet
     * @param listener receives the state changes of all rollouts
     */
    public RolloutTracker(
            NodeClock clock,
            RandomGenerator random,
            Fleet fleet,
            ExposureLimit limit,
            RolloutListener listener) {
        mClock = clock;
        mRandom = random;
        mProbeChooser = new LoadProbeChooser(fleet);
        mLimit = limit;
        mListener = listener;
    }

    /**
     * Replaces the orders of operators. A new order for a service starts a new rollout.
     *
     * @param specs all orders in force, by service
     */
    public void onSpecs(Map<String, RolloutSpec> specs) {
        mRollouts.keySet().retainAll(specs.keySet());
        specs.forEach(this::onSpec);
    }

    private void onSpec(String service, RolloutSpec spec) {
        Rollout rollout = mRollouts.get(service);
        if (rollout != null && rollout.spec().isSameOrder(spec)) {
            rollout.update(spec);
        } else {
            mRollouts.put(service, new Rollout(spec, mClock.monotonicMillis(), mLimit, mListener));
        }
    }

    /**
     * Applies the counts and the progress that another node reports.
     *
     * @param status the node's complete status
     */
    public void onStatus(NodeStatus status) {
        long now = mClock.monotonicMillis();
        for (TrialProgress progress : status.getTrialProgressList()) {
            Rollout rollout = mRollouts.get(progress.getService());
            if (rollout != null && rollout.isSame(progress)) {
                List<EvidenceCount> counts =
                        status.getTrialCountsList().stream()
                                .filter(c -> c.getService().equals(progress.getService()))
                                .toList();
                rollout.onCounts(status, counts);
                rollout.onProgress(status.getNode(), progress, now);
            }
        }
    }

    /**
     * Selects the versions of a service that may take a call.
     *
     * @param service the service's name
     * @return the selection for one call, {@code ANY} if there is no rollout
     */
    public VersionSelection select(String service) {
        Rollout rollout = mRollouts.get(service);
        return rollout == null ? VersionSelection.ANY : rollout.select(mRandom);
    }

    /**
     * Returns the new version of a service.
     *
     * @param service the service's name
     * @return the target version, empty if there is no rollout
     */
    public Optional<String> targetVersion(String service) {
        return Optional.ofNullable(mRollouts.get(service))
                .map(rollout -> rollout.spec().targetVersion());
    }

    /**
     * Returns the node whose backend server is probed under load.
     *
     * @param service the service's name
     * @return the node's name, empty if none is probed
     */
    public Optional<String> probedNode(String service) {
        return Optional.ofNullable(mRollouts.get(service)).flatMap(Rollout::probedNode);
    }

    /**
     * Counts a call that a backend server ran or failed.
     *
     * @param service the service's name
     * @param version the version of the backend server
     * @param route the route's name
     * @param selection the selection that was made for the call
     * @param call the outcome and duration of the call
     */
    public void count(
            String service,
            String version,
            String route,
            VersionSelection selection,
            CallMeasurement call) {
        Rollout rollout = mRollouts.get(service);
        if (rollout != null) {
            rollout.count(version, route, selection, call);
        }
    }

    /**
     * Returns the counts of this node for the rollouts in progress.
     *
     * @return the counts since each rollout began at this node
     */
    public List<EvidenceCount> counts() {
        return running().stream().flatMap(rollout -> rollout.counts().stream()).toList();
    }

    /**
     * Returns the progress of the rollouts for a report to other nodes.
     *
     * @return the progress of each rollout without an outcome
     */
    public List<TrialProgress> progress() {
        long now = mClock.monotonicMillis();
        return running().stream().map(rollout -> rollout.progress(now)).toList();
    }

    /**
     * Returns the interval at which counts have to be reported to other nodes.
     *
     * @return milliseconds, empty if no rollout is in progress
     */
    public Optional<Long> reportIntervalMillis() {
        return running().stream()
                .map(rollout -> rollout.stage().reportIntervalMillis())
                .min(Long::compare);
    }

    private List<Rollout> running() {
        return mRollouts.values().stream().filter(Rollout::isRunning).toList();
    }

    /**
     * Evaluates the rollouts in progress. To be called several times a second.
     *
     * @return the outcomes that have to be written
     */
    public List<Outcome> evaluate() {
        long now = mClock.monotonicMillis();
        List<Outcome> outcomes = new ArrayList<>();
        for (Rollout rollout : running()) {
            RolloutSpec spec = rollout.spec();
            rollout.evaluate(mProbeChooser.choose(spec.service(), spec.targetVersion()), now);
            rollout.dueOutcome(now)
                    .ifPresent(phase -> outcomes.add(new Outcome(spec, phase, rollout.fault())));
        }
        return outcomes;
    }
}
