package org.oriolewind.analysis;

import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.oriolewind.wire.EvidenceCount;

/** Sums of the evidence for the current step of each move. Not safe for use by several threads. */
public final class EvidenceWindows {
    private static final EvidenceTotals NONE = new EvidenceTotals();

    private final Map<EvidenceKey, EvidenceTotals> mTotals = new HashMap<>();
    private final Map<String, Instant> mWindowStarts = new HashMap<>();

    /**
     * Adds counts.
     *
     * @param counts the counts of one report
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
     * Starts a new window for a service.
     *
     * @param service the service's name
     * @param now the present
     */
    public void reset(String service, Instant now) {
        mWindowStarts.put(service, now);
        mTotals.keySet().removeIf(key -> key.service().equals(service));
    }

    /**
     * Starts a new window as a decision has it.
     *
     * @param service the service's name
     * @param decision a decision to count anew
     * @param now the present
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
     * Returns when the window of a service began.
     *
     * @param service the service's name
     * @return the time, the epoch if nothing was reset yet
     */
    public Instant windowStart(String service) {
        return mWindowStarts.getOrDefault(service, Instant.EPOCH);
    }

    /**
     * Pairs the counts of two versions, route by route.
     *
     * @param service the service's name
     * @param oldVersion the version to compare with
     * @param newVersion the version under test
     * @return pairs by route, for each route on which either version has counts
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
