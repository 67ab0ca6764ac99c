package org.oriolewind.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.oriolewind.event.EventKind;
import org.oriolewind.wire.Member;
import org.oriolewind.wire.MemberState;
import org.oriolewind.wire.MemberUpdate;

/**
 * Spreads member entries over the control links. Changes go on to all links but the one they came
 * from; tables that differ for long are exchanged whole. Belongs to the control thread.
 */
final class MembershipPropagator {
    /** Heartbeats with different digests, one after another, before tables are exchanged. */
    private static final int MISMATCHES_BEFORE_EXCHANGE = 2;

    /** Shortest time between two exchanges on a link. */
    private static final long EXCHANGE_INTERVAL_MILLIS = 10_000;

    /** Time without a change before digests are compared, so that news can arrive first. */
    private static final long QUIET_MILLIS = 1500;

    /** Time for which a member that is down is remembered. */
    private static final long FORGET_DOWN_MILLIS = 600_000;

    private final ControlContext mContext;
    private final List<Pending> mPending = new ArrayList<>();
    private long mChangedMillis;

    MembershipPropagator(ControlContext context) {
        mContext = context;
    }

    private record Pending(Member member, long sourceLink) {}

    /** Takes entries from a source other than a link. */
    void merge(Collection<Member> entries) {
        merge(entries, -1);
    }

    private void merge(Collection<Member> entries, long sourceLink) {
        List<Member> changed = mContext.mMembers.merge(entries, mContext.nowMillis());
        for (Member member : changed) {
            mChangedMillis = mContext.nowMillis();
            mPending.add(new Pending(member, sourceLink));
            mContext.record(
                    EventKind.MEMBER_CHANGED,
                    member.getNode(),
                    member.getIncarnation(),
                    member.getState().name());
            refuteIfSelf(member);
        }
    }

    private void refuteIfSelf(Member member) {
        Member self = mContext.self();
        boolean concernsSelf =
                member.getNode().equals(self.getNode())
                        && member.getIncarnation() == self.getIncarnation();
        if (concernsSelf && member.getState() == MemberState.MEMBER_STATE_DOWN) {
            changeSelf(self.toBuilder().setSequence(member.getSequence() + 1).build());
        }
    }

    /** Replaces this node's own entry by a later one. */
    void changeSelf(Member self) {
        mContext.setSelf(self);
        merge(List.of(self));
    }

    void onUpdate(ControlLink link, MemberUpdate update) {
        merge(update.getMembersList(), link.mId);
        if (update.getWhole()) {
            List<Member> better = mContext.mMembers.newerThan(update.getMembersList());
            if (!better.isEmpty()) {
                send(link, better, false);
            }
        }
    }

    void onDigest(ControlLink link, long digest) {
        link.mPeerMembersDigest = digest;
        if (digest == mContext.mMembers.digest()) {
            link.mDigestMismatches = 0;
            return;
        }
        if (mContext.nowMillis() - mChangedMillis < QUIET_MILLIS) {
            return;
        }
        link.mDigestMismatches++;
        boolean rested = mContext.nowMillis() - link.mWholeSentMillis >= EXCHANGE_INTERVAL_MILLIS;
        if (link.mDigestMismatches >= MISMATCHES_BEFORE_EXCHANGE && rested) {
            sendWhole(link);
        }
    }

    void sendWhole(ControlLink link) {
        link.mDigestMismatches = 0;
        link.mWholeSentMillis = mContext.nowMillis();
        send(link, mContext.mMembers.all(), true);
    }

    private void send(ControlLink link, Collection<Member> members, boolean whole) {
        MemberUpdate update =
                MemberUpdate.newBuilder().addAllMembers(members).setWhole(whole).build();
        mContext.mPort.send(link.mId, mContext.frame().setMemberUpdate(update).build());
    }

    void tick() {
        mContext.mMembers.removeDownBefore(mContext.nowMillis() - FORGET_DOWN_MILLIS);
        if (mPending.isEmpty()) {
            return;
        }
        for (ControlLink link : mContext.mLinks.all()) {
            List<Member> news =
                    mPending.stream()
                            .filter(pending -> pending.sourceLink() != link.mId)
                            .map(Pending::member)
                            .toList();
            if (!news.isEmpty()) {
                send(link, news, false);
            }
        }
        mPending.clear();
    }
}
