package org.oriolewind.rollout;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import org.oriolewind.analysis.EvidencePair;
import org.oriolewind.analysis.EvidenceTotals;
import org.oriolewind.wire.EvidenceCount;

/** Sums of a rollout's counts over nodes and routes. Not thread-safe. */
final class RolloutTotals {
    private final String mTargetVersion;
    private final Map<String, EvidencePair> mCompared = new TreeMap<>();
    private final Map<String, EvidencePair> mProbed = new TreeMap<>();
    private long mOldCalls;
    private long mOldFailures;
    private long mNewCalls;
    private long mNewFailures;
    private long mProbeCalls;
    private long mProbeFailures;

    RolloutTotals(String targetVersion) {
        mTargetVersion = targetVersion;
    }

    void add(Collection<EvidenceCount> counts) {
        counts.forEach(this::add);
    }

    private void add(EvidenceCount count) {
        if (count.getServiceVersion().equals(mTargetVersion)) {
            pair(count.getUnderLoad() ? mProbed : mCompared, count).newTotals().add(count);
            mNewCalls += count.getCalls();
            mNewFailures += count.getFailures();
            if (count.getUnderLoad()) {
                mProbeCalls += count.getCalls();
                mProbeFailures += count.getFailures();
            }
        } else if (count.getServiceVersion().equals(Rollout.OLD)) {
            pair(mCompared, count).oldTotals().add(count);
            pair(mProbed, count).oldTotals().add(count);
            mOldCalls += count.getCalls();
            mOldFailures += count.getFailures();
        }
    }

    private static EvidencePair pair(Map<String, EvidencePair> pairs, EvidenceCount count) {
        return pairs.computeIfAbsent(
                count.getRoute(),
                route -> new EvidencePair(new EvidenceTotals(), new EvidenceTotals()));
    }

    /** Returns the counts of the new version without load beside those of the old one, by route. */
    Map<String, EvidencePair> compared() {
        return mCompared;
    }

    /** Returns the counts of the new version under load beside those of the old one, by route. */
    Map<String, EvidencePair> probed() {
        return mProbed;
    }

    long allCalls() {
        return mOldCalls + mNewCalls;
    }

    long newCalls() {
        return mNewCalls;
    }

    long probeCalls() {
        return mProbeCalls;
    }

    @Override
    public String toString() {
        return String.format(
                "new version %d calls, %d failed, of these under load %d, %d failed;"
                        + " old version %d calls, %d failed",
                mNewCalls, mNewFailures, mProbeCalls, mProbeFailures, mOldCalls, mOldFailures);
    }
}
