package org.oriolewind.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.oriolewind.event.EventKind;
import org.oriolewind.wire.Member;
import org.oriolewind.wire.MemberState;
import org.oriolewind.wire.MemberUpdate;

/**
 * Propagates member entries over the control links. A change is forwarded on all links except the
 * one that it came from; as anti-entropy, full tables are exchanged when digests keep differing.
 * Confined to the control thread.
 */
final class MembershipPropagator {
    /** Consecutive heartbeats with a different digest before full tables are exchanged. */
    private static final int MISMATCHES_BEFORE_FULL_EXCHANGE = 2;

    /** Shortest time between two full tables sent on a link. */
    private static final long FULL_EXCHANGE_INTERVAL_MILLIS = 10_000;

    /** Time without a change before digests are compared, so that updates in transit can arrive. */
    private static final long DIGEST_CHECK_DELAY_MILLIS = 1500;

    /** Time for which the entry of a member that is down is kept. */
    private static final long DOWN_RETENTION_MILLIS = 600_000;

    private final ControlContext mContext;
    private final List<PendingUpdate> mPendingUpdates = new ArrayList<>();
    private long mLastChangeMillis;

    MembershipPropagator(ControlContext context) {
        mContext = context;
    }

    private record PendingUpdate(Member member, long sourceLink) {}

    /** Merges entries from a source other than a link, such as the platform or this node. */
    void merge(Collection<Member> entries) {
        merge(entries, -1);
    }

    private void merge(Collection<Member> entries, long sourceLink) {
        List<Member> changed = mContext.mMembers.merge(entries, mContext.nowMillis());
        for (Member member : changed) {
            mLastChangeMillis = mContext.nowMillis();
            mPendingUpdates.add(new PendingUpdate(member, sourceLink));
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

    /** Replaces this node's own entry by one with a later sequence number. */
    void changeSelf(Member self) {
        mContext.setSelf(self);
        merge(List.of(self));
    }

    void onUpdate(ControlLink link, MemberUpdate update) {
        merge(update.getMembersList(), link.mId);
        if (update.getWhole()) {
            List<Member> newer = mContext.mMembers.newerThan(update.getMembersList());
            if (!newer.isEmpty()) {
                send(link, newer, false);
            }
        }
    }

    void onDigest(ControlLink link, long digest) {
        link.mPeerMembersDigest = digest;
        if (digest == mContext.mMembers.digest()) {
            link.mDigestMismatches = 0;
            return;
        }
        if (mContext.nowMillis() - mLastChangeMillis < DIGEST_CHECK_DELAY_MILLIS) {
            return;
        }
        link.mDigestMismatches++;
        boolean intervalElapsed =
                mContext.nowMillis() - link.mFullTableSentMillis >= FULL_EXCHANGE_INTERVAL_MILLIS;
        if (link.mDigestMismatches >= MISMATCHES_BEFORE_FULL_EXCHANGE && intervalElapsed) {
            sendFullTable(link);
        }
    }

    void sendFullTable(ControlLink link) {
        link.mDigestMismatches = 0;
        link.mFullTableSentMillis = mContext.nowMillis();
        send(link, mContext.mMembers.all(), true);
    }

    private void send(ControlLink link, Collection<Member> members, boolean fullTable) {
        MemberUpdate update =
                MemberUpdate.newBuilder().addAllMembers(members).setWhole(fullTable).build();
        mContext.mTransport.send(link.mId, mContext.frame().setMemberUpdate(update).build());
    }

    void tick() {
        mContext.mMembers.removeDownBefore(mContext.nowMillis() - DOWN_RETENTION_MILLIS);
        if (mPendingUpdates.isEmpty()) {
            return;
        }
        for (ControlLink link : mContext.mLinks.all()) {
            List<Member> updates =
                    mPendingUpdates.stream()
                            .filter(pending -> pending.sourceLink() != link.mId)
                            .map(PendingUpdate::member)
                            .toList();
            if (!updates.isEmpty()) {
                send(link, updates, false);
            }
        }
        mPendingUpdates.clear();
    }
}
