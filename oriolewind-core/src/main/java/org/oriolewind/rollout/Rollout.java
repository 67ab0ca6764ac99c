package org.oriolewind.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.oriolewind.analysis.Confidence;
import org.oriolewind.analysis.EvidenceKey;
import org.oriolewind.analysis.EvidenceTotals;
import org.oriolewind.analysis.ProportionRule;
import org.oriolewind.analysis.Verdict;
import org.oriolewind.analysis.VersionEvaluation;
import org.oriolewind.analysis.VersionEvaluator;
import org.oriolewind.policy.RolloutPhase;
import org.oriolewind.policy.RolloutSpec;
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
public final class Rollout {
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

    private final VersionEvaluator mComparing =
            new VersionEvaluator(ProportionRule.SEQUENTIAL_RATIO);
    private final VersionEvaluator mProbing =
            new VersionEvaluator(ProportionRule.SEQUENTIAL_RATIO, PROBE_FAILURE_HARM);
    private final ExposureLimit mBound;
    private final RolloutListener mLog;
    private final Map<EvidenceKey, EvidenceTotals> mOwn = new HashMap<>();
    private final Map<EvidenceKey, EvidenceTotals> mOwnUnderLoad = new HashMap<>();
    private final PeerEvidence mOfOthers = new PeerEvidence();
    private RolloutSpec mOrder;
    private RolloutTotals mSums;
    private RolloutStage mStage = RolloutStage.COMPARE;
    private Optional<LoadProbeChooser.Probe> mProbe = Optional.empty();
    private boolean mProven;
    private long mStartedMillis;
    private long mStageSinceMillis;
    private String mFault = "";

    Rollout(RolloutSpec order, long startedMillis, ExposureLimit bound, RolloutListener log) {
        mOrder = order;
        mStartedMillis = startedMillis;
        mBound = bound;
        mLog = log;
        mSums = new RolloutTotals(order.targetVersion());
    }

    void update(RolloutSpec order) {
        mOrder = order;
    }

    RolloutSpec order() {
        return mOrder;
    }

    RolloutStage stage() {
        return mStage;
    }

    String fault() {
        return mFault;
    }

    /** Returns whether no outcome is known yet. */
    boolean isOpen() {
        return mOrder.phase().filter(RolloutPhase::isFinal).isEmpty();
    }

    void count(String version, String route, VersionSelection share, CallMeasurement end) {
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
    void judge(Optional<LoadProbeChooser.Probe> probe, long nowMillis) {
        mProbe = probe;
        mSums = new RolloutTotals(mOrder.targetVersion());
        mSums.add(counts());
        mOfOthers.addTo(mSums);
        if (!mFault.isEmpty()) {
            return;
        }
        VersionEvaluation compared =
                mComparing.judge(mSums.compared(), List.of(), Confidence.NORMAL);
        VersionEvaluation probed = mProbing.judge(mSums.probed(), List.of(), Confidence.NORMAL);
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
        RolloutStage next = mStage;
        if (age >= takeOverAge && mProven) {
            next = RolloutStage.TAKE_OVER;
        } else if (age >= takeOverAge - PROBE_MILLIS) {
            next = RolloutStage.PROBE;
        }
        if (next != mStage) {
            mStage = next;
            mStageSinceMillis = nowMillis;
            believe(next.name(), nowMillis);
        }
    }

    private void believe(String belief, long nowMillis) {
        mLog.onStateChange(mOrder.service(), mOrder.targetVersion(), belief, inputs(nowMillis));
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
    Optional<RolloutPhase> due(long nowMillis) {
        if (!isOpen()) {
            return Optional.empty();
        }
        if (!mFault.isEmpty()) {
            return Optional.of(RolloutPhase.ROLLED_BACK);
        }
        boolean borne =
                mStage == RolloutStage.TAKE_OVER && nowMillis - mStageSinceMillis >= BEAR_MILLIS;
        return borne ? Optional.of(RolloutPhase.COMPLETED) : Optional.empty();
    }

    VersionSelection share(RandomGenerator random) {
        Optional<RolloutPhase> phase = mOrder.phase();
        if (phase.filter(p -> p == RolloutPhase.COMPLETED).isPresent()) {
            return VersionSelection.NEW_FIRST;
        }
        if (!mFault.isEmpty() || phase.filter(p -> p == RolloutPhase.ROLLED_BACK).isPresent()) {
            return VersionSelection.OLD_ONLY;
        }
        if (mStage == RolloutStage.TAKE_OVER) {
            return VersionSelection.NEW_FIRST;
        }
        if (!mBound.allows(mSums.newCalls(), mSums.allCalls())) {
            return VersionSelection.OLD_ONLY;
        }
        double draw = random.nextDouble();
        if (draw < COMPARED_SHARE) {
            return VersionSelection.SAMPLE;
        }
        boolean probed =
                mStage == RolloutStage.PROBE
                        && !mProven
                        && mProbe.filter(p -> draw < COMPARED_SHARE + p.share()).isPresent();
        return probed ? VersionSelection.PROBE : VersionSelection.OLD_ONLY;
    }

    /** Returns the node whose backend server is probed under load. */
    Optional<String> probed() {
        return mProbe.map(LoadProbeChooser.Probe::node);
    }
}
