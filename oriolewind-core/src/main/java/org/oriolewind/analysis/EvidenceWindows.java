package org.oriolewind.analysis;

import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.oriolewind.wire.EvidenceCount;

/**
 * The evidence of each service in its current window. A new window starts with each step of a move,
 * so that a decision rests on calls at the current shares only. Not thread-safe.
 */
public final class EvidenceWindows {
    private static final EvidenceTotals NONE = new EvidenceTotals();

    private final Map<EvidenceKey, EvidenceTotals> mTotals = new HashMap<>();
    private final Map<String, Instant> mWindowStarts = new HashMap<>();

    /**
     * Adds the counts of one report.
     *
     * @param counts counts that were not reported before
     */
    public void add(Collection<EvidenceCount> counts) {
        for (EvidenceCount count : counts) {
            EvidenceKey key =
                    new EvidenceKey(
                            count.getService(), count.getServiceVersion(), count.getRoute());
            mTotals.computeIfAbsent(key, k -> new EvidenceTotals()).add(count);
        }
    }

    /**
     * Starts a new window for a service and drops its counts.
     *
     * @param service the service's name
     * @param now the start of the window
     */
    public void reset(String service, Instant now) {
        mWindowStarts.put(service, now);
        mTotals.keySet().removeIf(key -> key.service().equals(service));
    }

    /**
     * Drops the counts that a decision excludes: those of some routes, or all of them, which starts
     * a new window.
     *
     * @param service the service's name
     * @param decision a decision with the action {@code RESTART_WINDOW}
     * @param now the start of the new window
     */
    public void restart(String service, MoveDecision decision, Instant now) {
        if (decision.restartRoutes().isEmpty()) {
            reset(service, now);
            return;
        }
        mTotals.keySet()
                .removeIf(
                        key ->
                                key.service().equals(service)
                                        && decision.restartRoutes().contains(key.route()));
    }

    /**
     * Returns when the current window of a service began.
     *
     * @param service the service's name
     * @return the start passed to the latest reset, the epoch if there was none
     */
    public Instant windowStart(String service) {
        return mWindowStarts.getOrDefault(service, Instant.EPOCH);
    }

    /**
     * Returns the counts of two versions side by side.
     *
     * @param service the service's name
     * @param oldVersion the version to compare with
     * @param newVersion the version under evaluation
     * @return a pair for each route on which the service has counts; a version without any counts
     *     there has totals of zero
     */
    public TreeMap<String, EvidencePair> pairs(
            String service, String oldVersion, String newVersion) {
        TreeMap<String, EvidencePair> pairs = new TreeMap<>();
        for (EvidenceKey key : mTotals.keySet()) {
            if (!key.service().equals(service)) {
                continue;
            }
            EvidenceKey oldKey = new EvidenceKey(service, oldVersion, key.route());
            EvidenceKey newKey = new EvidenceKey(service, newVersion, key.route());
            pairs.put(
                    key.route(),
                    new EvidencePair(
                            mTotals.getOrDefault(oldKey, NONE),
                            mTotals.getOrDefault(newKey, NONE)));
        }
        return pairs;
    }
}
