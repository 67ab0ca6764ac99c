package org.oriolewind.control;

import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.oriolewind.wire.LinkPurpose;
import org.oriolewind.wire.Member;
import org.oriolewind.wire.MemberState;
import org.oriolewind.wire.Welcome;

/**
 * Checks members of the own data centre for liveness: one at random each interval, and a child when
 * its link is lost. A member that fails {@value #TRIES} checks in a row is declared down; it
 * refutes that itself if it lives. Belongs to the control thread.
 */
final class MemberProber {
    private static final int TRIES = 2;
    private static final long ANSWER_TIMEOUT_MILLIS = 2000;
    private static final long RETRY_MILLIS = 1000;

    private final ControlContext mContext;
    private final MembershipPropagator mMemberSpread;
    private final PendingDials mDials;
    private final Map<String, Probe> mProbes = new HashMap<>();
    private long mNextRandomMillis;

    MemberProber(ControlContext context, MembershipPropagator memberSpread, PendingDials dials) {
        mContext = context;
        mMemberSpread = memberSpread;
        mDials = dials;
        mNextRandomMillis = context.nowMillis() + intervalMillis();
    }

    /** A check in progress. */
    private static final class Probe {
        final Member mMember;
        int mFailures;
        boolean mOpen;
        long mLink = -1;
        long mDeadlineMillis;
        long mRetryMillis;

        Probe(Member member) {
            mMember = member;
        }
    }

    private long intervalMillis() {
        return mContext.mSettings.probeInterval().toMillis();
    }

    void check(String node) {
        Optional<Member> member = mContext.mMembers.find(node);
        boolean live =
                member.isPresent() && member.get().getState() != MemberState.MEMBER_STATE_DOWN;
        if (live && !mProbes.containsKey(node) && !node.equals(mContext.node())) {
            Probe probe = new Probe(member.get());
            mProbes.put(node, probe);
            start(probe);
        }
    }

    private void start(Probe probe) {
        probe.mOpen = true;
        probe.mDeadlineMillis = mContext.nowMillis() + ANSWER_TIMEOUT_MILLIS;
        mDials.dial(
                probe.mMember.getPeerAddress(),
                link -> onDialed(probe, link),
                () -> onFailed(probe));
    }

    private void onDialed(Probe probe, long link) {
        if (!probe.mOpen) {
            mContext.mPort.close(link);
            return;
        }
        probe.mLink = link;
        mContext.mPort.send(link, mContext.hello(LinkPurpose.LINK_PURPOSE_PROBE));
    }

    private void onFailed(Probe probe) {
        if (!probe.mOpen) {
            return;
        }
        close(probe);
        probe.mFailures++;
        probe.mRetryMillis = mContext.nowMillis() + RETRY_MILLIS;
        if (probe.mFailures >= TRIES) {
            mProbes.remove(probe.mMember.getNode());
            declareDown(probe.mMember);
        }
    }

    private void close(Probe probe) {
        probe.mOpen = false;
        if (probe.mLink >= 0) {
            mContext.mPort.close(probe.mLink);
            probe.mLink = -1;
        }
    }

    private void declareDown(Member probed) {
        Optional<Member> known = mContext.mMembers.find(probed.getNode());
        // A later entry came meanwhile: the node lives, or lived after the check began.
        if (known.filter(probed::equals).isPresent()) {
            Member down = probed.toBuilder().setState(MemberState.MEMBER_STATE_DOWN).build();
            mMemberSpread.merge(List.of(down));
        }
    }

    boolean onWelcome(long link, Welcome welcome) {
        for (Probe probe : mProbes.values()) {
            if (probe.mLink != link) {
                continue;
            }
            if (welcome.getNode().equals(probe.mMember.getNode())) {
                close(probe);
                mProbes.remove(probe.mMember.getNode());
            } else {
                // Another node took over the address.
                onFailed(probe);
            }
            return true;
        }
        return false;
    }

    void onClosed(long link) {
        for (Probe probe : List.copyOf(mProbes.values())) {
            if (probe.mLink == link) {
                onFailed(probe);
            }
        }
    }

    void tick() {
        long now = mContext.nowMillis();
        Iterator<Probe> probes = List.copyOf(mProbes.values()).iterator();
        while (probes.hasNext()) {
            Probe probe = probes.next();
            if (probe.mOpen && now >= probe.mDeadlineMillis) {
                onFailed(probe);
            } else if (!probe.mOpen && now >= probe.mRetryMillis) {
                start(probe);
            }
        }
        if (now >= mNextRandomMillis) {
            mNextRandomMillis =
                    now + intervalMillis() / 2 + mContext.jitterMillis(intervalMillis());
            checkRandom();
        }
    }

    private void checkRandom() {
        List<Member> local =
                mContext.mMembers.all().stream()
                        .filter(m -> m.getDataCentre().equals(mContext.dataCentre()))
                        .filter(m -> m.getState() != MemberState.MEMBER_STATE_DOWN)
                        .filter(m -> !m.getNode().equals(mContext.node()))
                        .toList();
        if (!local.isEmpty()) {
            check(local.get(mContext.mRandom.nextInt(local.size())).getNode());
        }
    }
}
