package org.oriolewind.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.oriolewind.wire.Hello;
import org.oriolewind.wire.LinkPurpose;
import org.oriolewind.wire.Member;
import org.oriolewind.wire.MemberState;
import org.oriolewind.wire.Welcome;

/**
 * Maintains one link between the root of this data centre's control tree and each other data
 * centre. Over these bridge links configuration, membership and the evidence about moves reach
 * other data centres while the platform is unavailable. Confined to the control thread.
 */
final class BridgeManager {
    private static final long RETRY_MILLIS = 1000;
    private static final long RETRY_JITTER_MILLIS = 3000;
    private static final long HANDSHAKE_TIMEOUT_MILLIS = 3000;

    private final ControlContext mContext;
    private final MembershipPropagator mMembershipPropagator;
    private final PendingDials mPendingDials;
    private final Map<String, Bridge> mBridges = new HashMap<>();
    private final Map<String, String> mLeaderAddresses = new HashMap<>();

    BridgeManager(
            ControlContext context,
            MembershipPropagator membershipPropagator,
            PendingDials pendingDials) {
        mContext = context;
        mMembershipPropagator = membershipPropagator;
        mPendingDials = pendingDials;
    }

    /** State of the link to one data centre: open, being dialed or waiting for a retry. */
    private static final class Bridge {
        final String mDataCentre;
        long mLink = -1;
        boolean mOpen;
        boolean mDialing;
        boolean mTriedLeader;
        long mDeadlineMillis;
        long mRetryMillis;

        Bridge(String dataCentre) {
            mDataCentre = dataCentre;
        }
    }

    void onLeaderSeen(String dataCentre, String address) {
        mLeaderAddresses.put(dataCentre, address);
    }

    void tick(boolean root) {
        if (!root) {
            closeAll();
            return;
        }
        for (String dataCentre : dataCentresToDial()) {
            openIfDue(mBridges.computeIfAbsent(dataCentre, Bridge::new));
        }
    }

    /**
     * Returns the data centres that this node dials. Of each pair, the data centre whose name sorts
     * first dials, so that each pair has one link.
     */
    private Set<String> dataCentresToDial() {
        TreeSet<String> others = new TreeSet<>(mLeaderAddresses.keySet());
        mContext.mMembers.all().forEach(member -> others.add(member.getDataCentre()));
        return others.tailSet(mContext.dataCentre(), false);
    }

    private void closeAll() {
        for (Bridge bridge : mBridges.values()) {
            mContext.mLinks.remove(bridge.mLink);
            closeLink(bridge);
        }
        mBridges.clear();
    }

    private void closeLink(Bridge bridge) {
        if (bridge.mLink >= 0) {
            mContext.mTransport.close(bridge.mLink);
        }
        bridge.mLink = -1;
        bridge.mOpen = false;
        bridge.mDialing = false;
    }

    private void openIfDue(Bridge bridge) {
        long now = mContext.nowMillis();
        if (bridge.mOpen) {
            return;
        }
        if (bridge.mDialing) {
            if (now >= bridge.mDeadlineMillis) {
                scheduleRetry(bridge);
            }
            return;
        }
        if (now < bridge.mRetryMillis) {
            return;
        }
        Optional<String> address = chooseAddress(bridge);
        if (address.isEmpty()) {
            return;
        }
        bridge.mDialing = true;
        bridge.mDeadlineMillis = now + HANDSHAKE_TIMEOUT_MILLIS;
        mPendingDials.dial(
                address.get(), link -> onDialed(bridge, link), () -> scheduleRetry(bridge));
    }

    /** Alternates between the leader's address and a random member that is not down. */
    private Optional<String> chooseAddress(Bridge bridge) {
        String leader = mLeaderAddresses.get(bridge.mDataCentre);
        bridge.mTriedLeader = !bridge.mTriedLeader;
        if (leader != null && bridge.mTriedLeader) {
            return Optional.of(leader);
        }
        List<String> live = new ArrayList<>();
        for (Member member : mContext.mMembers.all()) {
            if (member.getDataCentre().equals(bridge.mDataCentre)
                    && member.getState() != MemberState.MEMBER_STATE_DOWN) {
                live.add(member.getPeerAddress());
            }
        }
        if (live.isEmpty()) {
            return Optional.ofNullable(leader);
        }
        return Optional.of(live.get(mContext.mRandom.nextInt(live.size())));
    }

    private void scheduleRetry(Bridge bridge) {
        closeLink(bridge);
        bridge.mRetryMillis =
                mContext.nowMillis() + RETRY_MILLIS + mContext.jitterMillis(RETRY_JITTER_MILLIS);
    }

    private void onDialed(Bridge bridge, long link) {
        if (!bridge.mDialing || mBridges.get(bridge.mDataCentre) != bridge) {
            mContext.mTransport.close(link);
            return;
        }
        bridge.mLink = link;
        mContext.mTransport.send(link, mContext.hello(LinkPurpose.LINK_PURPOSE_BRIDGE));
    }

    boolean onWelcome(long link, Welcome welcome, long configVersion) {
        for (Bridge bridge : mBridges.values()) {
            if (bridge.mLink == link && bridge.mDialing) {
                open(bridge, welcome, configVersion);
                return true;
            }
        }
        return false;
    }

    private void open(Bridge bridge, Welcome welcome, long configVersion) {
        bridge.mDialing = false;
        bridge.mOpen = true;
        Member peer = Member.newBuilder().setNode(welcome.getNode()).build();
        ControlLink link =
                new ControlLink(
                        bridge.mLink,
                        LinkPurpose.LINK_PURPOSE_BRIDGE,
                        true,
                        peer,
                        mContext.nowMillis());
        link.mPeerConfigVersion = configVersion;
        mContext.mLinks.add(link);
        if (welcome.getMembersDigest() != mContext.mMembers.digest()) {
            mMembershipPropagator.sendFullTable(link);
        }
    }

    void onBridgeHello(long linkId, Hello hello, long configVersion) {
        ControlLink link =
                new ControlLink(
                        linkId,
                        LinkPurpose.LINK_PURPOSE_BRIDGE,
                        false,
                        hello.getSelf(),
                        mContext.nowMillis());
        link.mPeerConfigVersion = configVersion;
        Welcome welcome =
                Welcome.newBuilder()
                        .setNode(mContext.node())
                        .setIncarnation(mContext.self().getIncarnation())
                        .setMembersDigest(mContext.mMembers.digest())
                        .build();
        mContext.mTransport.send(linkId, mContext.frame().setWelcome(welcome).build());
        mContext.mLinks.add(link);
        mMembershipPropagator.merge(List.of(hello.getSelf()));
    }

    void onClosed(long link) {
        for (Bridge bridge : mBridges.values()) {
            if (bridge.mLink == link) {
                bridge.mLink = -1;
                scheduleRetry(bridge);
            }
        }
    }
}
