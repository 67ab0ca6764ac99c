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
 * Sums evidence up the tree: own counts and those of the children go to the parent; a root keeps
 * them and shares them with the roots of other data centres. A report's size is bounded by the
 * versions and routes of the services that move. Belongs to the control thread.
 */
final class EvidenceAggregator {
    private static final long REPORT_INTERVAL_MILLIS = 500;

    private final ControlContext mContext;
    private final EvidenceCollector mCollector;
    private final EvidenceWindows mLedger = new EvidenceWindows();
    private final Map<String, String> mStages = new HashMap<>();
    private List<EvidenceCount> mFromChildren = new ArrayList<>();
    private long mNextMillis;

    EvidenceAggregator(ControlContext context, EvidenceCollector collector) {
        mContext = context;
        mCollector = collector;
    }

    EvidenceWindows ledger() {
        return mLedger;
    }

    /** Starts a new window for each service whose move is at another step than before. */
    void onConfigInstalled() {
        MeshConfig config = mContext.mConfig.current();
        for (Move move : config.moves().values()) {
            String stage = move.id() + "/" + move.stage() + "/" + move.phase();
            if (!stage.equals(mStages.put(move.id(), stage))) {
                mLedger.reset(move.service(), mContext.mClock.instant());
            }
        }
        mStages.keySet().retainAll(config.moves().keySet());
    }

    void onReport(ControlLink link, EvidenceReport report, boolean root) {
        boolean fromChild = mContext.mLinks.children().contains(link);
        if (fromChild) {
            mFromChildren.addAll(report.getCountsList());
        } else if (root) {
            mLedger.add(report.getCountsList());
        }
    }

    void tick(Optional<ControlLink> parent, boolean root) {
        long now = mContext.nowMillis();
        if (now < mNextMillis) {
            return;
        }
        mNextMillis = now + REPORT_INTERVAL_MILLIS;
        List<EvidenceCount> counts = mCollector.drain();
        counts.addAll(mFromChildren);
        mFromChildren = new ArrayList<>();
        List<EvidenceCount> sums = sum(counts);
        if (sums.isEmpty()) {
            return;
        }
        parent.ifPresent(link -> send(link, sums));
        if (root) {
            mLedger.add(sums);
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
        mContext.mPort.send(link.mId, mContext.frame().setEvidenceReport(report).build());
    }
}
