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
 * One rollout as this node sees it: the evidence of all nodes, its evaluation, and the share of the
 * new version.
 *
 * <p>The new version is a canary with a small share for most of the rollout, since some faults
 * appear only after a while. Towards the end one of its backend servers is loaded to capacity,
 * since some faults occur only under load. If it passes, all calls go to the new version.
 *
 * <p>Invariants: a version once found bad stays bad; only a version that was found good under load
 * gets all calls or is completed; until then its calls stay within the exposure limit. Not
 * thread-safe.
 */
public final class Rollout {
    /** Version name under which the calls of all other versions are counted. */
    static final String OLD = "";

    /**
     * Share of the calls that the new version gets as a canary; small, because the load probe needs
     * part of the exposure limit too.
     */
    private static final double CANARY_SHARE = 0.04;

    /**
     * Time before the new version may get all calls at which the load probe begins; long enough for
     * the calls of the probe to end, slow ones included.
     */
    private static final long PROBE_MILLIS = 3500;

    /** Calls under load needed for a good verdict. A gross fault is found within about 20 calls. */
    private static final long MIN_PROBE_CALLS = 40;

    /**
     * Smallest relevant rise of the share of failed calls under load; larger than usual, since a
     * single backend server has few calls.
     */
    private static final double MIN_PROBE_FAILURE_RISE = 0.2;

    /** Factor by which a healthy backend server may be slower with nearly all slots in use. */
    private static final long MAX_LOAD_SLOWDOWN = 2;

    /** Time before the end of the rollout from which the new version gets all calls. */
    private static final long FULL_TRAFFIC_BEFORE_END_MILLIS = 1600;

    /** Time for which the new version must handle all calls before the rollout is completed. */
    private static final long MIN_FULL_TRAFFIC_MILLIS = 900;

    private final VersionEvaluator mCanaryEvaluator =
            new VersionEvaluator(ProportionRule.SEQUENTIAL_RATIO);
    private final VersionEvaluator mProbeEvaluator =
            new VersionEvaluator(ProportionRule.SEQUENTIAL_RATIO, MIN_PROBE_FAILURE_RISE);
    private final ExposureLimit mLimit;
    private final RolloutListener mListener;
    private final Map<EvidenceKey, EvidenceTotals> mOwnCounts = new HashMap<>();
    private final Map<EvidenceKey, EvidenceTotals> mOwnCountsUnderLoad = new HashMap<>();
    private final PeerEvidence mPeerEvidence = new PeerEvidence();
    private RolloutSpec mSpec;
    private RolloutTotals mTotals;
    private RolloutStage mStage = RolloutStage.COMPARE;
    private Optional<LoadProbeChooser.Probe> mProbe = Optional.empty();
    private boolean mGoodUnderLoad;
    private long mStartedMillis;
    private long mStageSinceMillis;
    private String mFault = "";

    Rollout(RolloutSpec spec, long startedMillis, ExposureLimit limit, RolloutListener listener) {
        mSpec = spec;
        mStartedMillis = startedMillis;
        mLimit = limit;
        mListener = listener;
        mTotals = new RolloutTotals(spec.targetVersion());
    }

    void update(RolloutSpec spec) {
        mSpec = spec;
    }

    RolloutSpec spec() {
        return mSpec;
    }

    RolloutStage stage() {
        return mStage;
    }

    String fault() {
        return mFault;
    }

    /** Returns whether the rollout has no outcome yet. */
    boolean isRunning() {
        return mSpec.phase().filter(RolloutPhase::isFinal).isEmpty();
    }

    void count(String version, String route, VersionSelection selection, CallMeasurement call) {
        boolean isNew = version.equals(mSpec.targetVersion());
        boolean underLoad = isNew && selection.isUnderLoad();
        EvidenceKey key = new EvidenceKey(mSpec.service(), isNew ? version : OLD, route);
        (underLoad ? mOwnCountsUnderLoad : mOwnCounts)
                .computeIfAbsent(key, k -> new EvidenceTotals())
                .addCall(
                        call.failed(),
                        call.cold(),
                        underLoad ? call.micros() / MAX_LOAD_SLOWDOWN : call.micros());
    }

    List<EvidenceCount> counts() {
        List<EvidenceCount> counts = new ArrayList<>();
        mOwnCounts.forEach((key, totals) -> counts.add(totals.toMessage(key)));
        mOwnCountsUnderLoad.forEach(
                (key, totals) ->
                        counts.add(totals.toMessage(key).toBuilder().setUnderLoad(true).build()));
        return counts;
    }

    TrialProgress progress(long nowMillis) {
        return TrialProgress.newBuilder()
                .setService(mSpec.service())
                .setTargetVersion(mSpec.targetVersion())
                .setOrderId(mSpec.orderId())
                .setAgeMillis(nowMillis - mStartedMillis)
                .setFault(mFault)
                .build();
    }

    boolean isSame(TrialProgress progress) {
        return progress.getService().equals(mSpec.service())
                && progress.getTargetVersion().equals(mSpec.targetVersion())
                && progress.getOrderId() == mSpec.orderId();
    }

    /** Applies what another node reports: an earlier start and a fault that it found. */
    void onProgress(String node, TrialProgress progress, long nowMillis) {
        mStartedMillis = Math.min(mStartedMillis, nowMillis - progress.getAgeMillis());
        if (mFault.isEmpty() && !progress.getFault().isEmpty()) {
            mFault = progress.getFault();
            notifyListener("bad, as found by " + node, nowMillis);
        }
    }

    void onCounts(NodeStatus status, List<EvidenceCount> counts) {
        mPeerEvidence.onReport(
                status.getNode(), status.getIncarnation(), status.getSequence(), counts);
    }

    /** Evaluates the evidence of all nodes and advances to the stage that is due. */
    void evaluate(Optional<LoadProbeChooser.Probe> probe, long nowMillis) {
        mProbe = probe;
        mTotals = new RolloutTotals(mSpec.targetVersion());
        mTotals.add(counts());
        mPeerEvidence.addTo(mTotals);
        if (!mFault.isEmpty()) {
            return;
        }
        VersionEvaluation compared =
                mCanaryEvaluator.evaluate(mTotals.compared(), List.of(), Confidence.NORMAL);
        VersionEvaluation probed =
                mProbeEvaluator.evaluate(mTotals.probed(), List.of(), Confidence.NORMAL);
        if (compared.verdict() == Verdict.BAD) {
            onFault(compared.evidence().toString(), nowMillis);
        } else if (probed.verdict() == Verdict.BAD) {
            onFault("under load: " + probed.evidence(), nowMillis);
        } else {
            mGoodUnderLoad =
                    mTotals.probeCalls() >= MIN_PROBE_CALLS && probed.pooled() == Verdict.GOOD;
            advanceStage(nowMillis);
        }
    }

    private void onFault(String fault, long nowMillis) {
        mFault = fault;
        notifyListener("bad", nowMillis);
    }

    private void advanceStage(long nowMillis) {
        long age = nowMillis - mStartedMillis;
        long fullTrafficAge = mSpec.durationMillis() - FULL_TRAFFIC_BEFORE_END_MILLIS;
        RolloutStage next = mStage;
        if (age >= fullTrafficAge && mGoodUnderLoad) {
            next = RolloutStage.TAKE_OVER;
        } else if (age >= fullTrafficAge - PROBE_MILLIS) {
            next = RolloutStage.PROBE;
        }
        if (next != mStage) {
            mStage = next;
            mStageSinceMillis = nowMillis;
            notifyListener(next.name(), nowMillis);
        }
    }

    private void notifyListener(String state, long nowMillis) {
        mListener.onStateChange(mSpec.service(), mSpec.targetVersion(), state, inputs(nowMillis));
    }

    private String inputs(long nowMillis) {
        return String.format(
                "age %d of %d ms; %s; reports of %d nodes; probe %s%s",
                nowMillis - mStartedMillis,
                mSpec.durationMillis(),
                mTotals,
                mPeerEvidence.sourceCount() + 1,
                mProbe.map(p -> String.format("%s with share %.2f", p.node(), p.share()))
                        .orElse("none"),
                mFault.isEmpty() ? "" : "; fault: " + mFault);
    }

    /**
     * Returns the outcome to be written, empty while the rollout continues and once an outcome is
     * stored.
     */
    Optional<RolloutPhase> dueOutcome(long nowMillis) {
        if (!isRunning()) {
            return Optional.empty();
        }
        if (!mFault.isEmpty()) {
            return Optional.of(RolloutPhase.ROLLED_BACK);
        }
        boolean handled =
                mStage == RolloutStage.TAKE_OVER
                        && nowMillis - mStageSinceMillis >= MIN_FULL_TRAFFIC_MILLIS;
        return handled ? Optional.of(RolloutPhase.COMPLETED) : Optional.empty();
    }

    VersionSelection select(RandomGenerator random) {
        Optional<RolloutPhase> phase = mSpec.phase();
        if (phase.filter(p -> p == RolloutPhase.COMPLETED).isPresent()) {
            return VersionSelection.NEW_FIRST;
        }
        if (!mFault.isEmpty() || phase.filter(p -> p == RolloutPhase.ROLLED_BACK).isPresent()) {
            return VersionSelection.OLD_ONLY;
        }
        if (mStage == RolloutStage.TAKE_OVER) {
            return VersionSelection.NEW_FIRST;
        }
        if (!mLimit.allows(mTotals.newCalls(), mTotals.allCalls())) {
            return VersionSelection.OLD_ONLY;
        }
        double draw = random.nextDouble();
        if (draw < CANARY_SHARE) {
            return VersionSelection.CANARY;
        }
        boolean probed =
                mStage == RolloutStage.PROBE
                        && !mGoodUnderLoad
                        && mProbe.filter(p -> draw < CANARY_SHARE + p.share()).isPresent();
        return probed ? VersionSelection.PROBE : VersionSelection.OLD_ONLY;
    }

    /** Returns the node whose backend server is probed under load. */
    Optional<String> probedNode() {
        return mProbe.map(LoadProbeChooser.Probe::node);
    }
}
