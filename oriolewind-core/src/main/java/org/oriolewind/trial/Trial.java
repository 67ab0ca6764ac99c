package org.oriolewind.trial;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.oriolewind.policy.TrialOrder;
import org.oriolewind.policy.TrialPhase;
import org.oriolewind.rollout.Certainty;
import org.oriolewind.rollout.EvidenceKey;
import org.oriolewind.rollout.EvidenceTotals;
import org.oriolewind.rollout.Judgement;
import org.oriolewind.rollout.ProportionRule;
import org.oriolewind.rollout.Verdict;
import org.oriolewind.rollout.VersionJudge;
import org.oriolewind.wire.EvidenceCount;
import org.oriolewind.wire.NodeStatus;
import org.oriolewind.wire.TrialProgress;

/**
 * One trial as this node sees it: the evidence of all nodes, the verdict over it, and the share of
 * the new version.
 *
 * <p>The new version keeps a small share for nearly the whole time that the operator gives, since
 * some faults begin late. Towards the end one of its backend servers is filled with calls, since
 * some faults begin under load. All calls move to it at the end, if it has borne that.
 *
 * <p>Invariants: a version once found bad stays so; only a version that was judged good under load
 * gets all calls or is completed; until then its calls stay within the exposure bound. Not safe for
 * use by several threads.
 */
public final class Trial {
    /** Version under which the evidence of all old versions is counted. */
    static final String OLD = "";

    /** Share of the new version while it is compared; the probe needs its part of the bound too. */
    private static final double COMPARED_SHARE = 0.04;

    /** Time before the take-over at which the probe begins: calls, and the end of slow ones. */
    private static final long PROBE_MILLIS = 3500;

    /** Calls under load that a verdict rests on: the judge takes some 20 for a gross fault. */
    private static final long MIN_PROBE_CALLS = 40;

    /** Rise of the failed share under load that counts: a single server has few calls. */
    private static final double PROBE_FAILURE_HARM = 0.2;

    /** A sound backend server near its slots may take this many times as long as at rest. */
    private static final long LOADED_SLOWDOWN = 2;

    /** Time before the end at which all calls move to the new version. */
    private static final long TAKE_OVER_MILLIS = 1600;

    /** Time for which the new version must bear all calls before it is completed. */
    private static final long BEAR_MILLIS = 900;

    private final VersionJudge mComparing = new VersionJudge(ProportionRule.SEQUENTIAL_RATIO);
    private final VersionJudge mProbing =
            new VersionJudge(ProportionRule.SEQUENTIAL_RATIO, PROBE_FAILURE_HARM);
    private final ExposureBound mBound;
    private final TrialLog mLog;
    private final Map<EvidenceKey, EvidenceTotals> mOwn = new HashMap<>();
    private final Map<EvidenceKey, EvidenceTotals> mOwnUnderLoad = new HashMap<>();
    private final TrialEvidence mOfOthers = new TrialEvidence();
    private TrialOrder mOrder;
    private TrialSums mSums;
    private TrialStage mStage = TrialStage.COMPARE;
    private Optional<ProbeChooser.Probe> mProbe = Optional.empty();
    private boolean mProven;
    private long mStartedMillis;
    private long mStageSinceMillis;
    private String mFault = "";

    Trial(TrialOrder order, long startedMillis, ExposureBound bound, TrialLog log) {
        mOrder = order;
        mStartedMillis = startedMillis;
        mBound = bound;
        mLog = log;
        mSums = new TrialSums(order.targetVersion());
    }

    void update(TrialOrder order) {
        mOrder = order;
    }

    TrialOrder order() {
        return mOrder;
    }

    TrialStage stage() {
        return mStage;
    }

    String fault() {
        return mFault;
    }

    /** Returns whether no outcome is known yet. */
    boolean isOpen() {
        return mOrder.phase().filter(TrialPhase::isFinal).isEmpty();
    }

    void count(String version, String route, TrialShare share, CallEnd end) {
        boolean isNew = version.equals(mOrder.targetVersion());
        boolean underLoad = isNew && share.isUnderLoad();
        EvidenceKey key = new EvidenceKey(mOrder.service(), isNew ? version : OLD, route);
        (underLoad ? mOwnUnderLoad : mOwn)
                .computeIfAbsent(key, k -> new EvidenceTotals())
                .addCall(
                        end.failed(),
                        end.cold(),
                        underLoad ? end.micros() / LOADED_SLOWDOWN : end.micros());
    }

    List<EvidenceCount> counts() {
        List<EvidenceCount> counts = new ArrayList<>();
        mOwn.forEach((key, totals) -> counts.add(totals.toMessage(key)));
        mOwnUnderLoad.forEach(
                (key, totals) ->
                        counts.add(totals.toMessage(key).toBuilder().setUnderLoad(true).build()));
        return counts;
    }

    TrialProgress progress(long nowMillis) {
        return TrialProgress.newBuilder()
                .setService(mOrder.service())
                .setTargetVersion(mOrder.targetVersion())
                .setOrderId(mOrder.orderId())
                .setAgeMillis(nowMillis - mStartedMillis)
                .setFault(mFault)
                .build();
    }

    boolean isSame(TrialProgress progress) {
        return progress.getService().equals(mOrder.service())
                && progress.getTargetVersion().equals(mOrder.targetVersion())
                && progress.getOrderId() == mOrder.orderId();
    }

    /** Takes what another node knows: the earliest start and a fault that it found. */
    void onProgress(String node, TrialProgress progress, long nowMillis) {
        mStartedMillis = Math.min(mStartedMillis, nowMillis - progress.getAgeMillis());
        if (mFault.isEmpty() && !progress.getFault().isEmpty()) {
            mFault = progress.getFault();
            believe("bad, as found by " + node, nowMillis);
        }
    }

    void onCounts(NodeStatus status, List<EvidenceCount> counts) {
        mOfOthers.onReport(status.getNode(), status.getIncarnation(), status.getSequence(), counts);
    }

    /** Judges the evidence of all nodes and moves to the stage that is due. */
    void judge(Optional<ProbeChooser.Probe> probe, long nowMillis) {
        mProbe = probe;
        mSums = new TrialSums(mOrder.targetVersion());
        mSums.add(counts());
        mOfOthers.addTo(mSums);
        if (!mFault.isEmpty()) {
            return;
        }
        Judgement compared = mComparing.judge(mSums.compared(), List.of(), Certainty.NORMAL);
        Judgement probed = mProbing.judge(mSums.probed(), List.of(), Certainty.NORMAL);
        if (compared.verdict() == Verdict.BAD) {
            onFault(compared.evidence().toString(), nowMillis);
        } else if (probed.verdict() == Verdict.BAD) {
            onFault("under load: " + probed.evidence(), nowMillis);
        } else {
            mProven = mSums.probeCalls() >= MIN_PROBE_CALLS && probed.pooled() == Verdict.GOOD;
            moveOn(nowMillis);
        }
    }

    private void onFault(String fault, long nowMillis) {
        mFault = fault;
        believe("bad", nowMillis);
    }

    private void moveOn(long nowMillis) {
        long age = nowMillis - mStartedMillis;
        long takeOverAge = mOrder.durationMillis() - TAKE_OVER_MILLIS;
        TrialStage next = mStage;
        if (age >= takeOverAge && mProven) {
            next = TrialStage.TAKE_OVER;
        } else if (age >= takeOverAge - PROBE_MILLIS) {
            next = TrialStage.PROBE;
        }
        if (next != mStage) {
            mStage = next;
            mStageSinceMillis = nowMillis;
            believe(next.name(), nowMillis);
        }
    }

    private void believe(String belief, long nowMillis) {
        mLog.onBelief(mOrder.service(), mOrder.targetVersion(), belief, inputs(nowMillis));
    }

    private String inputs(long nowMillis) {
        return String.format(
                "age %d of %d ms; %s; reports of %d nodes; probe %s%s",
                nowMillis - mStartedMillis,
                mOrder.durationMillis(),
                mSums,
                mOfOthers.sources() + 1,
                mProbe.map(p -> String.format("%s with share %.2f", p.node(), p.share()))
                        .orElse("none"),
                mFault.isEmpty() ? "" : "; fault: " + mFault);
    }

    /** Returns the outcome that is due, empty while the trial goes on. */
    Optional<TrialPhase> due(long nowMillis) {
        if (!isOpen()) {
            return Optional.empty();
        }
        if (!mFault.isEmpty()) {
            return Optional.of(TrialPhase.ROLLED_BACK);
        }
        boolean borne =
                mStage == TrialStage.TAKE_OVER && nowMillis - mStageSinceMillis >= BEAR_MILLIS;
        return borne ? Optional.of(TrialPhase.COMPLETED) : Optional.empty();
    }

    TrialShare share(RandomGenerator random) {
        Optional<TrialPhase> phase = mOrder.phase();
        if (phase.filter(p -> p == TrialPhase.COMPLETED).isPresent()) {
            return TrialShare.NEW_FIRST;
        }
        if (!mFault.isEmpty() || phase.filter(p -> p == TrialPhase.ROLLED_BACK).isPresent()) {
            return TrialShare.OLD_ONLY;
        }
        if (mStage == TrialStage.TAKE_OVER) {
            return TrialShare.NEW_FIRST;
        }
        if (!mBound.allows(mSums.newCalls(), mSums.allCalls())) {
            return TrialShare.OLD_ONLY;
        }
        double draw = random.nextDouble();
        if (draw < COMPARED_SHARE) {
            return TrialShare.SAMPLE;
        }
        boolean probed =
                mStage == TrialStage.PROBE
                        && !mProven
                        && mProbe.filter(p -> draw < COMPARED_SHARE + p.share()).isPresent();
        return probed ? TrialShare.PROBE : TrialShare.OLD_ONLY;
    }

    /** Returns the node whose backend server is probed under load. */
    Optional<String> probed() {
        return mProbe.map(ProbeChooser.Probe::node);
    }
}
