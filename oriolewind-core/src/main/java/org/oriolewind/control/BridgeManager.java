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
 * Keeps a link from the root of this data centre to each other data centre, over which
 * configuration, membership and evidence pass without the platform. Belongs to the control thread.
 */
final class BridgeManager {
    private static final long RETRY_MILLIS = 1000;
    private static final long RETRY_JITTER_MILLIS = 3000;
    private static final long HANDSHAKE_TIMEOUT_MILLIS = 3000;

    private final ControlContext mContext;
    private final MembershipPropagator mMemberSpread;
    private final PendingDials mDials;
    private final Map<String, Bridge> mBridges = new HashMap<>();
    private final Map<String, String> mLeadAddresses = new HashMap<>();

    BridgeManager(ControlContext context, MembershipPropagator memberSpread, PendingDials dials) {
        mContext = context;
        mMemberSpread = memberSpread;
        mDials = dials;
    }

    /** A link to one data centre, open, in the making or to be tried again. */
    private static final class Bridge {
        final String mDataCentre;
        long mLink = -1;
        boolean mOpen;
        boolean mDialing;
        boolean mTriedLead;
        long mDeadlineMillis;
        long mRetryMillis;

        Bridge(String dataCentre) {
            mDataCentre = dataCentre;
        }
    }

    void onLeadSeen(String dataCentre, String address) {
        mLeadAddresses.put(dataCentre, address);
    }

    void tick(boolean root) {
        if (!root) {
            closeAll();
            return;
        }
        for (String dataCentre : laterDataCentres()) {
            keep(mBridges.computeIfAbsent(dataCentre, Bridge::new));
        }
    }

    /** Returns the data centres to dial. Of each pair the one whose name comes first dials. */
    private Set<String> laterDataCentres() {
        TreeSet<String> others = new TreeSet<>(mLeadAddresses.keySet());
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
            mContext.mPort.close(bridge.mLink);
        }
        bridge.mLink = -1;
        bridge.mOpen = false;
        bridge.mDialing = false;
    }

    private void keep(Bridge bridge) {
        long now = mContext.nowMillis();
        if (bridge.mOpen) {
            return;
        }
        if (bridge.mDialing) {
            if (now >= bridge.mDeadlineMillis) {
                fail(bridge);
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
        mDials.dial(address.get(), link -> onDialed(bridge, link), () -> fail(bridge));
    }

    /** Tries the lead first, then any live member, in turns. */
    private Optional<String> chooseAddress(Bridge bridge) {
        String lead = mLeadAddresses.get(bridge.mDataCentre);
        bridge.mTriedLead = !bridge.mTriedLead;
        if (lead != null && bridge.mTriedLead) {
            return Optional.of(lead);
        }
        List<String> live = new ArrayList<>();
        for (Member member : mContext.mMembers.all()) {
            if (member.getDataCentre().equals(bridge.mDataCentre)
                    && member.getState() != MemberState.MEMBER_STATE_DOWN) {
                live.add(member.getPeerAddress());
            }
        }
        if (live.isEmpty()) {
            return Optional.ofNullable(lead);
        }
        return Optional.of(live.get(mContext.mRandom.nextInt(live.size())));
    }

    private void fail(Bridge bridge) {
        closeLink(bridge);
        bridge.mRetryMillis =
                mContext.nowMillis() + RETRY_MILLIS + mContext.jitterMillis(RETRY_JITTER_MILLIS);
    }

    private void onDialed(Bridge bridge, long link) {
        if (!bridge.mDialing || mBridges.get(bridge.mDataCentre) != bridge) {
            mContext.mPort.close(link);
            return;
        }
        bridge.mLink = link;
        mContext.mPort.send(link, mContext.hello(LinkPurpose.LINK_PURPOSE_BRIDGE));
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
        link.mPeerVersion = configVersion;
        mContext.mLinks.add(link);
        if (welcome.getMembersDigest() != mContext.mMembers.digest()) {
            mMemberSpread.sendWhole(link);
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
        link.mPeerVersion = configVersion;
        Welcome welcome =
                Welcome.newBuilder()
                        .setNode(mContext.node())
                        .setIncarnation(mContext.self().getIncarnation())
                        .setMembersDigest(mContext.mMembers.digest())
                        .build();
        mContext.mPort.send(linkId, mContext.frame().setWelcome(welcome).build());
        mContext.mLinks.add(link);
        mMemberSpread.merge(List.of(hello.getSelf()));
    }

    void onClosed(long link) {
        for (Bridge bridge : mBridges.values()) {
            if (bridge.mLink == link) {
                bridge.mLink = -1;
                fail(bridge);
            }
        }
    }
}
