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
 * Decides the moves while this node holds the rollout lease. One decision is written at a time; a
 * decision that was overtaken has no effect. Belongs to the control thread.
 */
final class RolloutController {
    private static final long RETRY_JITTER_MILLIS = 1000;

    private final ControlContext mContext;
    private final LeaseManager mLease;
    private final EvidenceWindows mLedger;
    private final ConfigPropagator mConfigSpread;
    private final MovePolicy mPolicy =
            new MovePolicy(new VersionEvaluator(ProportionRule.SEQUENTIAL_RATIO));
    private boolean mWriting;
    private long mNextMillis;

    RolloutController(
            ControlContext context,
            LeaseManager lease,
            EvidenceWindows ledger,
            ConfigPropagator configSpread) {
        mContext = context;
        mLease = lease;
        mLedger = ledger;
        mConfigSpread = configSpread;
    }

    void tick() {
        if (!mLease.isHeld() || mWriting || mContext.nowMillis() < mNextMillis) {
            return;
        }
        MeshConfig config = mContext.mConfig.current();
        for (Move move : config.monitoredMoves(mContext.mClock.instant())) {
            MoveDecision decision =
                    mPolicy.decide(
                            move,
                            mLedger.pairs(move.service(), move.from(), move.to()),
                            mLedger.windowStart(move.service()),
                            mContext.mClock.instant());
            if (decision.action() == MoveDecision.Action.RESTART_WINDOW) {
                mLedger.restart(move.service(), decision, mContext.mClock.instant());
            } else if (decision.changesConfig()) {
                write(move, decision);
                return;
            }
        }
    }

    private void write(Move move, MoveDecision decision) {
        mWriting = true;
        MoveEdit edit = new MoveEdit(move.id(), move.stage(), mLease.term(), decision);
        mContext.mGateway.submit(
                PlatformExecutor.TaskQueue.REQUESTS,
                store -> new ConfigPublisher(store, mContext.mClock).publish(edit),
                reply -> onWritten(move, decision, reply));
    }

    private void onWritten(Move move, MoveDecision decision, PlatformResult<PublishResult> reply) {
        mWriting = false;
        if (!reply.isOk()) {
            mNextMillis = mContext.nowMillis() + 1 + mContext.jitterMillis(RETRY_JITTER_MILLIS);
            return;
        }
        if (reply.value().changed()) {
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
        mConfigSpread.onStored(reply.value().head().config());
    }
}
