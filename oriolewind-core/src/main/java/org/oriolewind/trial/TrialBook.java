package org.oriolewind.trial;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.oriolewind.policy.TrialOrder;
import org.oriolewind.policy.TrialPhase;
import org.oriolewind.time.NodeClock;
import org.oriolewind.wire.EvidenceCount;

/** The trials that operators ordered, by service. Not safe for use by several threads. */
public final class TrialBook {
    private final NodeClock mClock;
    private final RandomGenerator mRandom;
    private final Map<String, Trial> mTrials = new HashMap<>();

    /** An outcome to be written. */
    public record Outcome(TrialOrder order, TrialPhase phase, String reason) {}

    /**
     * Creates an empty book.
     *
     * @param clock the clock
     * @param random source of choices
     */
    public TrialBook(NodeClock clock, RandomGenerator random) {
        mClock = clock;
        mRandom = random;
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
        boolean same = trial != null && trial.order().targetVersion().equals(order.targetVersion());
        if (same) {
            trial.update(order);
        } else {
            mTrials.put(service, new Trial(order, startMillis(order)));
        }
    }

    /** Start on the monotonic clock; a node that came later reads the order's age off the clock. */
    private long startMillis(TrialOrder order) {
        long now = mClock.monotonicMillis();
        long ageMillis = order.createdMillis() == 0 ? 0 : mClock.millis() - order.createdMillis();
        return now - Math.max(0, Math.min(order.durationMillis(), ageMillis));
    }

    /**
     * Returns which versions of a service may take a call.
     *
     * @param service the service
     * @return the share that the call falls in
     */
    public TrialShare share(String service) {
        Trial trial = mTrials.get(service);
        return trial == null ? TrialShare.ANY : trial.share(mRandom, mClock.monotonicMillis());
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
     * Counts the end of a call at a backend server.
     *
     * @param service the service
     * @param version the version
     * @param route the route
     * @param failed whether it failed
     * @param cold whether the backend server was cold
     * @param micros time in the backend server
     */
    public void count(
            String service,
            String version,
            String route,
            boolean failed,
            boolean cold,
            long micros) {
        Trial trial = mTrials.get(service);
        if (trial != null) {
            trial.count(version, route, failed, cold, micros);
        }
    }

    /**
     * Returns the counts of this node.
     *
     * @return the counts since each trial began
     */
    public List<EvidenceCount> counts() {
        List<EvidenceCount> counts = new ArrayList<>();
        mTrials.values().stream()
                .filter(t -> t.order().phase().filter(TrialPhase::isFinal).isEmpty())
                .forEach(t -> counts.addAll(t.counts()));
        return counts;
    }

    /**
     * Judges the trials that run.
     *
     * @param ofOthers the counts of all other nodes
     * @return the outcomes that are due
     */
    public List<Outcome> judge(List<EvidenceCount> ofOthers) {
        List<Outcome> outcomes = new ArrayList<>();
        for (Map.Entry<String, Trial> entry : mTrials.entrySet()) {
            Trial trial = entry.getValue();
            List<EvidenceCount> counts = new ArrayList<>(trial.counts());
            for (EvidenceCount count : ofOthers) {
                if (count.getService().equals(entry.getKey())) {
                    counts.add(count);
                }
            }
            trial.judge(counts);
            trial.due(mClock.monotonicMillis())
                    .ifPresent(
                            phase ->
                                    outcomes.add(
                                            new Outcome(trial.order(), phase, trial.reason())));
        }
        return outcomes;
    }
}
