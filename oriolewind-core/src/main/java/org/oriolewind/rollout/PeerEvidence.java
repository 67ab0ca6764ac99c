package org.oriolewind.rollout;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.oriolewind.wire.EvidenceCount;

/**
 * The counts of one trial that other nodes reported. Not safe for use by several threads.
 *
 * <p>Invariant: what a node has reported stays when the node ends or is not heard of any more.
 */
final class PeerEvidence {
    /** A node from one start to its end. */
    private record Source(String node, long incarnation) {}

    private record Report(long sequence, List<EvidenceCount> counts) {}

    private final Map<Source, Report> mReports = new HashMap<>();

    /** Takes all counts of a node since it started; a report that was overtaken is ignored. */
    void onReport(String node, long incarnation, long sequence, List<EvidenceCount> counts) {
        Source source = new Source(node, incarnation);
        Report latest = mReports.get(source);
        if (latest == null || sequence > latest.sequence()) {
            mReports.put(source, new Report(sequence, List.copyOf(counts)));
        }
    }

    void addTo(RolloutTotals sums) {
        mReports.values().forEach(report -> sums.add(report.counts()));
    }

    /** Returns how many nodes have reported, counting a node again after each restart. */
    int sources() {
        return mReports.size();
    }
}
