package org.oriolewind.analysis;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.oriolewind.wire.EvidenceCount;

/**
 * Counts the calls that this node sent, until they are reported. Calls of services without a move
 * are not counted. Safe for use by several threads.
 */
public final class EvidenceCollector {
    private final Map<EvidenceKey, EvidenceTotals> mTotals = new HashMap<>();

    /**
     * Counts a call that was handed over.
     *
     * @param key what the call belongs to
     * @param failed whether it failed
     * @param cold whether the gate was still opening; the latency does not count then
     * @param micros time in the backend server, in microseconds
     */
    public synchronized void addCall(EvidenceKey key, boolean failed, boolean cold, long micros) {
        totals(key).addCall(failed, cold, micros);
    }

    /**
     * Counts a call that the gate refused as not run.
     *
     * @param key what the call belongs to
     */
    public synchronized void addRefusal(EvidenceKey key) {
        totals(key).addRefusal();
    }

    private EvidenceTotals totals(EvidenceKey key) {
        return mTotals.computeIfAbsent(key, k -> new EvidenceTotals());
    }

    /**
     * Takes out all counts.
     *
     * @return the counts since the last call
     */
    public synchronized List<EvidenceCount> drain() {
        List<EvidenceCount> counts = new ArrayList<>();
        mTotals.forEach((key, totals) -> counts.add(totals.toMessage(key)));
        mTotals.clear();
        return counts;
    }
}
