package org.oriolewind.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.oriolewind.analysis.EvidenceCollector;
import org.oriolewind.analysis.EvidenceKey;
import org.oriolewind.analysis.EvidenceTotals;
import org.oriolewind.analysis.EvidenceWindows;
import org.oriolewind.config.MeshConfig;
import org.oriolewind.config.Move;
import org.oriolewind.wire.EvidenceCount;
import org.oriolewind.wire.EvidenceReport;

/**
 * Aggregates the evidence about moves up the control tree: a node adds its children's counts to its
 * own and reports the sums to its parent; a root records them in its evidence windows and sends
 * them to the roots of the other data centres. The size of a report is bounded by the versions and
 * routes of the services with a move. Confined to the control thread.
 */
final class EvidenceAggregator {
    private static final long REPORT_INTERVAL_MILLIS = 500;

    private final ControlContext mContext;
    private final EvidenceCollector mCollector;
    private final EvidenceWindows mEvidenceWindows = new EvidenceWindows();
    private final Map<String, String> mLastSteps = new HashMap<>();
    private List<EvidenceCount> mChildCounts = new ArrayList<>();
    private long mNextReportMillis;

    EvidenceAggregator(ControlContext context, EvidenceCollector collector) {
        mContext = context;
        mCollector = collector;
    }

    EvidenceWindows evidenceWindows() {
        return mEvidenceWindows;
    }

    /** Starts a new evidence window for each service whose move is at another step than before. */
    void onConfigInstalled() {
        MeshConfig config = mContext.mConfig.current();
        for (Move move : config.moves().values()) {
            String step = move.id() + "/" + move.stage() + "/" + move.phase();
            if (!step.equals(mLastSteps.put(move.id(), step))) {
                mEvidenceWindows.reset(move.service(), mContext.mClock.instant());
            }
        }
        mLastSteps.keySet().retainAll(config.moves().keySet());
    }

    void onReport(ControlLink link, EvidenceReport report, boolean root) {
        boolean fromChild = mContext.mLinks.children().contains(link);
        if (fromChild) {
            mChildCounts.addAll(report.getCountsList());
        } else if (root) {
            mEvidenceWindows.add(report.getCountsList());
        }
    }

    void tick(Optional<ControlLink> parent, boolean root) {
        long now = mContext.nowMillis();
        if (now < mNextReportMillis) {
            return;
        }
        mNextReportMillis = now + REPORT_INTERVAL_MILLIS;
        List<EvidenceCount> counts = mCollector.drain();
        counts.addAll(mChildCounts);
        mChildCounts = new ArrayList<>();
        List<EvidenceCount> sums = sum(counts);
        if (sums.isEmpty()) {
            return;
        }
        parent.ifPresent(link -> send(link, sums));
        if (root) {
            mEvidenceWindows.add(sums);
            mContext.mLinks.bridges().forEach(bridge -> send(bridge, sums));
        }
    }

    private static List<EvidenceCount> sum(Collection<EvidenceCount> counts) {
        Map<EvidenceKey, EvidenceTotals> totals = new HashMap<>();
        for (EvidenceCount count : counts) {
            EvidenceKey key =
                    new EvidenceKey(
                            count.getService(), count.getServiceVersion(), count.getRoute());
            totals.computeIfAbsent(key, k -> new EvidenceTotals()).add(count);
        }
        List<EvidenceCount> sums = new ArrayList<>();
        totals.forEach((key, total) -> sums.add(total.toMessage(key)));
        return sums;
    }

    private void send(ControlLink link, List<EvidenceCount> counts) {
        EvidenceReport report = EvidenceReport.newBuilder().addAllCounts(counts).build();
        mContext.mTransport.send(link.mId, mContext.frame().setEvidenceReport(report).build());
    }
}
