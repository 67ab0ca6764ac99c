package org.oriolewind.rollout;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.oriolewind.wire.EvidenceCount;

/**
 * The counts of one rollout that other nodes reported. Not thread-safe.
 *
 * <p>Invariant: the counts of a node are kept after it ends or stops reporting.
 */
final class PeerEvidence {
    /** One incarnation of a node. */
    private record Source(String node, long incarnation) {}

    private record Report(long sequence, List<EvidenceCount> counts) {}

    private final Map<Source, Report> mReports = new HashMap<>();

    /** Replaces the counts of an incarnation; a report older than the latest one is ignored. */
    void onReport(String node, long incarnation, long sequence, List<EvidenceCount> counts) {
        Source source = new Source(node, incarnation);
        Report latest = mReports.get(source);
        if (latest == null || sequence > latest.sequence()) {
            mReports.put(source, new Report(sequence, List.copyOf(counts)));
        }
    }

    void addTo(RolloutTotals totals) {
        mReports.values().forEach(report -> totals.add(report.counts()));
    }

    /** Returns the number of incarnations that have reported. */
    int sourceCount() {
        return mReports.size();
    }
}
