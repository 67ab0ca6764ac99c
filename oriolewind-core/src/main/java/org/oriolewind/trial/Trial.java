package org.oriolewind.trial;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.oriolewind.policy.TrialOrder;
import org.oriolewind.policy.TrialPhase;
import org.oriolewind.rollout.Certainty;
import org.oriolewind.rollout.EvidenceKey;
import org.oriolewind.rollout.EvidencePair;
import org.oriolewind.rollout.EvidenceTotals;
import org.oriolewind.rollout.Judgement;
import org.oriolewind.rollout.ProportionRule;
import org.oriolewind.rollout.Verdict;
import org.oriolewind.rollout.VersionJudge;
import org.oriolewind.wire.EvidenceCount;

/**
 * One trial as this node sees it: the evidence of its own calls, the verdict over the evidence of
 * all nodes, and the share of the new version.
 *
 * <p>The new version keeps a small share for nearly the whole time that the operator gives, since
 * some faults begin late; only the last moments shift the rest. Invariant: once found bad, a
 * version stays so. Not safe for use by several threads.
 */
public final class Trial {
    /** Version under which the evidence of all old versions is counted. */
    static final String OLD = "";

    /** Share of the new version while it is compared, far enough below a tenth. */
    private static final double COMPARED_SHARE = 0.06;

    /** Time before the end in which the traffic shifts and the outcome is written. */
    private static final long SHIFT_MILLIS = 1600;

    /** Time after the shift in which calls at the old version come to their end. */
    private static final long SETTLE_MILLIS = 700;

    /** Calls without which a new version is not trusted with all traffic. */
    private static final long MIN_CALLS = 8;

    private final VersionJudge mJudge = new VersionJudge(ProportionRule.SEQUENTIAL_RATIO);
    private final Map<EvidenceKey, EvidenceTotals> mOwn = new HashMap<>();
    private TrialOrder mOrder;
    private final long mStartedMillis;
    private boolean mBad;
    private long mNewCalls;
    private String mReason = "";

    Trial(TrialOrder order, long startedMillis) {
        mOrder = order;
        mStartedMillis = startedMillis;
    }

    void update(TrialOrder order) {
        mOrder = order;
    }

    TrialOrder order() {
        return mOrder;
    }

    String reason() {
        return mReason;
    }

    void count(String version, String route, boolean failed, boolean cold, long micros) {
        boolean isNew = version.equals(mOrder.targetVersion());
        EvidenceKey key = new EvidenceKey(mOrder.service(), isNew ? version : OLD, route);
        mOwn.computeIfAbsent(key, k -> new EvidenceTotals()).addCall(failed, cold, micros);
    }

    List<EvidenceCount> counts() {
        return mOwn.entrySet().stream().map(e -> e.getValue().toMessage(e.getKey())).toList();
    }

    /** Judges the evidence of all nodes. */
    void judge(List<EvidenceCount> counts) {
        Map<String, EvidencePair> pairs = new TreeMap<>();
        long newCalls = 0;
        for (EvidenceCount count : counts) {
            EvidencePair pair =
                    pairs.computeIfAbsent(
                            count.getRoute(),
                            r -> new EvidencePair(new EvidenceTotals(), new EvidenceTotals()));
            if (count.getServiceVersion().equals(mOrder.targetVersion())) {
                pair.newTotals().add(count);
                newCalls += count.getCalls();
            } else if (count.getServiceVersion().equals(OLD)) {
                pair.oldTotals().add(count);
            }
        }
        mNewCalls = newCalls;
        Judgement judgement = mJudge.judge(pairs, List.of(), Certainty.NORMAL);
        if (judgement.verdict() == Verdict.BAD && !mBad) {
            mBad = true;
            mReason = judgement.evidence().toString();
        }
    }

    boolean isBad() {
        return mBad;
    }

    private long leftMillis(long nowMillis) {
        return mStartedMillis + mOrder.durationMillis() - nowMillis;
    }

    /** Returns the outcome that is due, empty while the trial goes on. */
    Optional<TrialPhase> due(long nowMillis) {
        if (mOrder.phase().filter(TrialPhase::isFinal).isPresent()) {
            return Optional.empty();
        }
        if (mBad) {
            return Optional.of(TrialPhase.ROLLED_BACK);
        }
        boolean settled = leftMillis(nowMillis) <= SHIFT_MILLIS - SETTLE_MILLIS;
        return settled && mNewCalls >= MIN_CALLS
                ? Optional.of(TrialPhase.COMPLETED)
                : Optional.empty();
    }

    TrialShare share(RandomGenerator random, long nowMillis) {
        Optional<TrialPhase> phase = mOrder.phase();
        if (phase.filter(p -> p == TrialPhase.COMPLETED).isPresent()) {
            return TrialShare.NEW_FIRST;
        }
        if (mBad || phase.filter(p -> p == TrialPhase.ROLLED_BACK).isPresent()) {
            return TrialShare.OLD_ONLY;
        }
        if (leftMillis(nowMillis) <= SHIFT_MILLIS && mNewCalls >= MIN_CALLS) {
            return TrialShare.NEW_FIRST;
        }
        return random.nextDouble() < COMPARED_SHARE ? TrialShare.NEW_FIRST : TrialShare.OLD_ONLY;
    }
}
