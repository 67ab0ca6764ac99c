package org.oriolewind.analysis;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.oriolewind.wire.EvidenceCount;

/**
 * Counts the calls that this node dispatched since its last report. Callers omit the calls of
 * services without a monitored move. Thread-safe.
 */
public final class EvidenceCollector {
    private final Map<EvidenceKey, EvidenceTotals> mTotals = new HashMap<>();

    /**
     * Counts a call that a backend server ran or failed.
     *
     * @param key the service, version and route of the call
     * @param failed whether it failed
     * @param cold whether the backend server was in its cold start; the latency is then left out
     * @param micros time in the backend server, in microseconds
     */
    public synchronized void addCall(EvidenceKey key, boolean failed, boolean cold, long micros) {
        totals(key).addCall(failed, cold, micros);
    }

    /**
     * Counts a call that the admission gate refused as not run.
     *
     * @param key the service, version and route of the call
     */
    public synchronized void addRefusal(EvidenceKey key) {
        totals(key).addRefusal();
    }

    private EvidenceTotals totals(EvidenceKey key) {
        return mTotals.computeIfAbsent(key, k -> new EvidenceTotals());
    }

    /**
     * Returns all counts and resets them.
     *
     * @return the counts since the previous invocation, empty if there were no calls
     */
    public synchronized List<EvidenceCount> drain() {
        List<EvidenceCount> counts = new ArrayList<>();
        mTotals.forEach((key, totals) -> counts.add(totals.toMessage(key)));
        mTotals.clear();
        return counts;
    }
}
