package org.oriolewind.control;

import org.oriolewind.config.ConfigPublisher;
import org.oriolewind.config.MeshConfig;
import org.oriolewind.config.Move;
import org.oriolewind.config.Publication;
import org.oriolewind.event.Event;
import org.oriolewind.event.EventKind;
import org.oriolewind.lease.LeaseKeeper;
import org.oriolewind.platform.PlatformGateway;
import org.oriolewind.platform.PlatformReply;
import org.oriolewind.rollout.EvidenceLedger;
import org.oriolewind.rollout.MoveDecision;
import org.oriolewind.rollout.MoveEdit;
import org.oriolewind.rollout.ProportionRule;
import org.oriolewind.rollout.RolloutPolicy;
import org.oriolewind.rollout.VersionJudge;

/**
 * Decides the steps of all rollouts while this node holds the rollout lease. One decision is
 * written at a time; a decision on a step that has changed meanwhile has no effect. Confined to the
 * control thread.
 */
final class RolloutDuty {
    private static final long RETRY_JITTER_MILLIS = 1000;

    private final ControlContext mContext;
    private final LeaseKeeper mLease;
    private final EvidenceLedger mLedger;
    private final ConfigSpread mConfigSpread;
    private final RolloutPolicy mPolicy =
            new RolloutPolicy(new VersionJudge(ProportionRule.SEQUENTIAL_RATIO));
    private boolean mWriting;
    private long mNextWriteMillis;

    RolloutDuty(
            ControlContext context,
            LeaseKeeper lease,
            EvidenceLedger ledger,
            ConfigSpread configSpread) {
        mContext = context;
        mLease = lease;
        mLedger = ledger;
        mConfigSpread = configSpread;
    }

    void tick() {
        if (!mLease.isHeld() || mWriting || mContext.nowMillis() < mNextWriteMillis) {
            return;
        }
        MeshConfig config = mContext.mConfig.current();
        for (Move move : config.watchedMoves(mContext.mClock.instant())) {
            MoveDecision decision =
                    mPolicy.decide(
                            move,
                            mLedger.pairs(move.service(), move.from(), move.to()),
                            mLedger.windowStart(move.service()),
                            mContext.mClock.instant());
            if (decision.action() == MoveDecision.Action.RESTART_WINDOW) {
                mLedger.restart(move.service(), decision, mContext.mClock.instant());
            } else if (decision.isWritten()) {
                write(move, decision);
                return;
            }
        }
    }

    private void write(Move move, MoveDecision decision) {
        mWriting = true;
        MoveEdit edit = new MoveEdit(move.id(), move.stage(), mLease.term(), decision);
        mContext.mGateway.submit(
                PlatformGateway.Lane.REQUESTS,
                store -> new ConfigPublisher(store, mContext.mClock).publish(edit),
                reply -> onWritten(move, decision, reply));
    }

    private void onWritten(Move move, MoveDecision decision, PlatformReply<Publication> reply) {
        mWriting = false;
        if (!reply.isOk()) {
            mNextWriteMillis =
                    mContext.nowMillis() + 1 + mContext.jitterMillis(RETRY_JITTER_MILLIS);
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
