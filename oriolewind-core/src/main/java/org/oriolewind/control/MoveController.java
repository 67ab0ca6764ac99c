package org.oriolewind.control;

import org.oriolewind.analysis.EvidenceWindows;
import org.oriolewind.analysis.MoveDecision;
import org.oriolewind.analysis.MoveEdit;
import org.oriolewind.analysis.MovePolicy;
import org.oriolewind.analysis.ProportionRule;
import org.oriolewind.analysis.VersionEvaluator;
import org.oriolewind.config.ConfigPublisher;
import org.oriolewind.config.MeshConfig;
import org.oriolewind.config.Move;
import org.oriolewind.config.PublishResult;
import org.oriolewind.event.Event;
import org.oriolewind.event.EventKind;
import org.oriolewind.lease.LeaseManager;
import org.oriolewind.platform.PlatformExecutor;
import org.oriolewind.platform.PlatformResult;

/**
 * Decides the steps of all moves while this node holds the rollout lease. One decision is written
 * at a time; a decision about a step that has changed meanwhile has no effect. Confined to the
 * control thread.
 */
final class MoveController {
    private static final long RETRY_JITTER_MILLIS = 1000;

    private final ControlContext mContext;
    private final LeaseManager mRolloutLease;
    private final EvidenceWindows mEvidenceWindows;
    private final ConfigPropagator mConfigPropagator;
    private final MovePolicy mPolicy =
            new MovePolicy(new VersionEvaluator(ProportionRule.SEQUENTIAL_RATIO));
    private boolean mWriting;
    private long mNextWriteMillis;

    MoveController(
            ControlContext context,
            LeaseManager lease,
            EvidenceWindows evidenceWindows,
            ConfigPropagator configPropagator) {
        mContext = context;
        mRolloutLease = lease;
        mEvidenceWindows = evidenceWindows;
        mConfigPropagator = configPropagator;
    }

    void tick() {
        if (!mRolloutLease.isHeld() || mWriting || mContext.nowMillis() < mNextWriteMillis) {
            return;
        }
        MeshConfig config = mContext.mConfig.current();
        for (Move move : config.monitoredMoves(mContext.mClock.instant())) {
            MoveDecision decision =
                    mPolicy.decide(
                            move,
                            mEvidenceWindows.pairs(move.service(), move.from(), move.to()),
                            mEvidenceWindows.windowStart(move.service()),
                            mContext.mClock.instant());
            if (decision.action() == MoveDecision.Action.RESTART_WINDOW) {
                mEvidenceWindows.restart(move.service(), decision, mContext.mClock.instant());
            } else if (decision.changesConfig()) {
                write(move, decision);
                return;
            }
        }
    }

    private void write(Move move, MoveDecision decision) {
        mWriting = true;
        MoveEdit edit = new MoveEdit(move.id(), move.stage(), mRolloutLease.term(), decision);
        mContext.mPlatformExecutor.submit(
                PlatformExecutor.TaskQueue.REQUESTS,
                store -> new ConfigPublisher(store, mContext.mClock).publish(edit),
                result -> onWritten(move, decision, result));
    }

    private void onWritten(Move move, MoveDecision decision, PlatformResult<PublishResult> result) {
        mWriting = false;
        if (!result.isOk()) {
            mNextWriteMillis =
                    mContext.nowMillis() + 1 + mContext.jitterMillis(RETRY_JITTER_MILLIS);
            return;
        }
        if (result.value().changed()) {
            EventKind kind =
                    decision.action() == MoveDecision.Action.PERMIT
                            ? EventKind.SHARE_PERMITTED
                            : EventKind.VERDICT;
            String reason = decision.evidence().map(e -> e.reason()).orElse("first step");
            mContext.mEvents.record(
                    Event.ofMove(
                            kind,
                            move.note(),
                            move.service(),
                            move.to(),
                            decision.shareBps(),
                            decision.action() + ": " + reason));
        }
        mConfigPropagator.onStored(result.value().head().config());
    }
}
