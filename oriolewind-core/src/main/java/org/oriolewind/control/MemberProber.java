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
 * Sends liveness probes to members of this data centre: to one at random each interval, and to a
 * child whose link is lost. A member that fails {@value #MAX_FAILURES} probes in a row is declared
 * down; a live member refutes that with a later entry. Confined to the control thread.
 */
final class MemberProber {
    private static final int MAX_FAILURES = 2;
    private static final long PROBE_TIMEOUT_MILLIS = 2000;
    private static final long RETRY_MILLIS = 1000;

    private final ControlContext mContext;
    private final MembershipPropagator mMembershipPropagator;
    private final PendingDials mPendingDials;
    private final Map<String, Probe> mProbes = new HashMap<>();
    private long mNextRandomProbeMillis;

    MemberProber(
            ControlContext context,
            MembershipPropagator membershipPropagator,
            PendingDials pendingDials) {
        mContext = context;
        mMembershipPropagator = membershipPropagator;
        mPendingDials = pendingDials;
        mNextRandomProbeMillis = context.nowMillis() + intervalMillis();
    }

    /** The probe of one member, with its retry. */
    private static final class Probe {
        final Member mMember;
        int mFailures;
        boolean mInProgress;
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

    void probeIfLive(String node) {
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
        probe.mInProgress = true;
        probe.mDeadlineMillis = mContext.nowMillis() + PROBE_TIMEOUT_MILLIS;
        mPendingDials.dial(
                probe.mMember.getPeerAddress(),
                link -> onDialed(probe, link),
                () -> onFailed(probe));
    }

    private void onDialed(Probe probe, long link) {
        if (!probe.mInProgress) {
            mContext.mTransport.close(link);
            return;
        }
        probe.mLink = link;
        mContext.mTransport.send(link, mContext.hello(LinkPurpose.LINK_PURPOSE_PROBE));
    }

    private void onFailed(Probe probe) {
        if (!probe.mInProgress) {
            return;
        }
        close(probe);
        probe.mFailures++;
        probe.mRetryMillis = mContext.nowMillis() + RETRY_MILLIS;
        if (probe.mFailures >= MAX_FAILURES) {
            mProbes.remove(probe.mMember.getNode());
            declareDown(probe.mMember);
        }
    }

    private void close(Probe probe) {
        probe.mInProgress = false;
        if (probe.mLink >= 0) {
            mContext.mTransport.close(probe.mLink);
            probe.mLink = -1;
        }
    }

    private void declareDown(Member probed) {
        Optional<Member> current = mContext.mMembers.find(probed.getNode());
        // A later entry shows that the node was alive after the probe began.
        if (current.filter(probed::equals).isPresent()) {
            Member down = probed.toBuilder().setState(MemberState.MEMBER_STATE_DOWN).build();
            mMembershipPropagator.merge(List.of(down));
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
                // Another node answers at this address now.
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
            if (probe.mInProgress && now >= probe.mDeadlineMillis) {
                onFailed(probe);
            } else if (!probe.mInProgress && now >= probe.mRetryMillis) {
                start(probe);
            }
        }
        if (now >= mNextRandomProbeMillis) {
            mNextRandomProbeMillis =
                    now + intervalMillis() / 2 + mContext.jitterMillis(intervalMillis());
            probeRandomMember();
        }
    }

    private void probeRandomMember() {
        List<Member> local =
                mContext.mMembers.all().stream()
                        .filter(m -> m.getDataCentre().equals(mContext.dataCentre()))
                        .filter(m -> m.getState() != MemberState.MEMBER_STATE_DOWN)
                        .filter(m -> !m.getNode().equals(mContext.node()))
                        .toList();
        if (!local.isEmpty()) {
            probeIfLive(local.get(mContext.mRandom.nextInt(local.size())).getNode());
        }
    }
}
