package org.oriolewind.control;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.oriolewind.event.EventKind;
import org.oriolewind.wire.Heartbeat;
import org.oriolewind.wire.Hello;
import org.oriolewind.wire.LinkPurpose;
import org.oriolewind.wire.Member;
import org.oriolewind.wire.MemberState;
import org.oriolewind.wire.Redirect;
import org.oriolewind.wire.Welcome;

/**
 * Keeps this node's place in the control tree of its data centre. The lease holder is the root; a
 * node that finds no parent acts as a root for others until it finds the lease holder's tree.
 *
 * <p>Invariant: a path never holds a node twice, so that there are no loops; a node has at most the
 * set number of children. Belongs to the control thread.
 */
final class TreeManager {
    private static final int MAX_REDIRECT_ADDRESSES = 3;
    private static final long HANDSHAKE_TIMEOUT_MILLIS = 1000;
    private static final long SEARCH_PAUSE_MILLIS = 1000;
    private static final long LASTING_ROOT_MILLIS = 5000;
    private static final long SEARCH_JITTER_MILLIS = 3000;

    private final ControlContext mContext;
    private final MembershipPropagator mMemberSpread;
    private final PendingDials mDials;

    private final ParentCandidates mCandidates;
    private Optional<ControlLink> mParent = Optional.empty();
    private List<String> mPath = List.of();
    private String mLeadAddress = "";
    private long mLeadTerm;
    private long mLostLeadTerm = -1;
    private long mRootSinceMillis;
    private String mStandby = "";
    private volatile String mDutyAddress = "";
    private boolean mLeaseHeld;
    private boolean mDialing;
    private long mHandshakeLink = -1;
    private long mDialDeadlineMillis;
    private long mNextSearchMillis;

    TreeManager(ControlContext context, MembershipPropagator memberSpread, PendingDials dials) {
        mContext = context;
        mMemberSpread = memberSpread;
        mDials = dials;
        mCandidates = new ParentCandidates(context);
    }

    boolean isRoot() {
        return mParent.isEmpty() && !mPath.isEmpty();
    }

    /** Returns whether this node has been a root for longer than a search for a parent takes. */
    boolean isLastingRoot() {
        return isRoot() && mContext.nowMillis() - mRootSinceMillis >= LASTING_ROOT_MILLIS;
    }

    Optional<ControlLink> parent() {
        return mParent;
    }

    List<String> path() {
        return mPath;
    }

    /** Returns whether this node shall watch the platform beside the lead. */
    boolean isStandby() {
        return mStandby.equals(mContext.node());
    }

    /** Returns the term of the lease holder above this node, 0 if none is known to hold it. */
    long leadTerm() {
        return mLeaseHeld || mParent.isPresent() ? mLeadTerm : 0;
    }

    /** Takes news of the lease holder from the platform. */
    void onLeadSeen(String address, long term) {
        if (term >= mLeadTerm && !address.equals(mContext.self().getPeerAddress())) {
            if (term > mLostLeadTerm && !address.equals(mLeadAddress) && mParent.isEmpty()) {
                mCandidates.addFirst(address);
                mNextSearchMillis = Math.min(mNextSearchMillis, mContext.nowMillis());
            }
            mLeadAddress = address;
            mLeadTerm = term;
        }
    }

    void tick(boolean leaseHeld, long term) {
        if (leaseHeld) {
            becomeLead(term);
            return;
        }
        if (mLeaseHeld) {
            mLeaseHeld = false;
            mLeadTerm = 0;
            mNextSearchMillis = mContext.nowMillis() + SEARCH_PAUSE_MILLIS;
        }
        if (mParent.isPresent()) {
            return;
        }
        long now = mContext.nowMillis();
        if (mDialing) {
            if (now < mDialDeadlineMillis) {
                return;
            }
            abandonDial();
        }
        if (now >= mNextSearchMillis) {
            dialNext();
        }
    }

    private void becomeLead(long term) {
        mLeadTerm = term;
        mLeadAddress = mContext.self().getPeerAddress();
        if (!mLeaseHeld) {
            mLeaseHeld = true;
            mParent.ifPresent(this::drop);
            mParent = Optional.empty();
            setPath(List.of(mContext.node()), "holds the lease");
        }
        boolean standbyGone =
                mContext.mLinks.children().stream().noneMatch(c -> c.mNode.equals(mStandby));
        if (standbyGone) {
            mStandby = mContext.mLinks.children().stream().findFirst().map(c -> c.mNode).orElse("");
        }
    }

    private void drop(ControlLink link) {
        mContext.mLinks.remove(link.mId);
        mContext.mPort.close(link.mId);
    }

    private void abandonDial() {
        mDialing = false;
        if (mHandshakeLink >= 0) {
            mContext.mPort.close(mHandshakeLink);
            mHandshakeLink = -1;
        }
    }

    private void dialNext() {
        boolean leadLost = mLeadTerm <= mLostLeadTerm;
        Optional<String> address = mCandidates.next(mLeadAddress, leadLost, mStandby);
        if (address.isEmpty()) {
            endSearch();
            return;
        }
        mDialing = true;
        mDialDeadlineMillis = mContext.nowMillis() + HANDSHAKE_TIMEOUT_MILLIS;
        mDials.dial(address.get(), this::onDialed, this::onDialFailed);
    }

    private void endSearch() {
        mCandidates.clear();
        mNextSearchMillis =
                mContext.nowMillis()
                        + SEARCH_PAUSE_MILLIS
                        + mContext.jitterMillis(SEARCH_JITTER_MILLIS);
        if (mPath.isEmpty()) {
            setPath(List.of(mContext.node()), "no parent found");
        }
    }

    private void onDialed(long link) {
        if (!mDialing || mParent.isPresent() || mLeaseHeld) {
            mContext.mPort.close(link);
            return;
        }
        mHandshakeLink = link;
        mContext.mPort.send(link, mContext.hello(LinkPurpose.LINK_PURPOSE_CHILD));
    }

    private void onDialFailed() {
        mDialing = false;
    }

    /** Takes the answer of a node that was asked to be the parent. */
    boolean onWelcome(long link, Welcome welcome, long configVersion) {
        if (link != mHandshakeLink) {
            return false;
        }
        mHandshakeLink = -1;
        mDialing = false;
        if (welcome.getPathList().contains(mContext.node()) || mLeaseHeld) {
            mContext.mPort.close(link);
            return true;
        }
        Member peer =
                Member.newBuilder()
                        .setNode(welcome.getNode())
                        .setIncarnation(welcome.getIncarnation())
                        .build();
        ControlLink parent =
                new ControlLink(
                        link, LinkPurpose.LINK_PURPOSE_CHILD, true, peer, mContext.nowMillis());
        parent.mPeerVersion = configVersion;
        mContext.mLinks.add(parent);
        mParent = Optional.of(parent);
        mCandidates.clear();
        setPath(extended(welcome.getPathList()), "parent " + welcome.getNode());
        return true;
    }

    private List<String> extended(List<String> parentPath) {
        List<String> path = new ArrayList<>(parentPath);
        path.add(mContext.node());
        return List.copyOf(path);
    }

    boolean onRedirect(long link, Redirect redirect) {
        if (link != mHandshakeLink) {
            return false;
        }
        abandonDial();
        List<String> addresses = new ArrayList<>(redirect.getPeerAddressesList());
        Collections.reverse(addresses);
        addresses.forEach(mCandidates::addFirst);
        return true;
    }

    /** Decides whether a node may become a child. */
    void onChildHello(long link, Hello hello, long configVersion) {
        Member child = hello.getSelf();
        boolean foreign = !child.getDataCentre().equals(mContext.dataCentre());
        boolean loop = mPath.contains(child.getNode());
        List<ControlLink> children = mContext.mLinks.children();
        if (foreign || loop || mPath.isEmpty()) {
            redirect(link, foreign ? localPeers(child.getDataCentre()) : List.of());
            return;
        }
        children.stream().filter(old -> old.mNode.equals(child.getNode())).forEach(this::drop);
        if (mContext.mLinks.children().size() >= mContext.mSettings.maxChildren()) {
            redirect(link, someChildren(children));
            return;
        }
        accept(link, hello, configVersion);
    }

    private void accept(long link, Hello hello, long configVersion) {
        ControlLink child =
                new ControlLink(
                        link,
                        LinkPurpose.LINK_PURPOSE_CHILD,
                        false,
                        hello.getSelf(),
                        mContext.nowMillis());
        child.mPeerVersion = configVersion;
        Welcome welcome =
                Welcome.newBuilder()
                        .setNode(mContext.node())
                        .setIncarnation(mContext.self().getIncarnation())
                        .setMembersDigest(mContext.mMembers.digest())
                        .addAllPath(mPath)
                        .build();
        mContext.mPort.send(link, mContext.frame().setWelcome(welcome).build());
        boolean differs = hello.getMembersDigest() != mContext.mMembers.digest();
        mMemberSpread.merge(List.of(hello.getSelf()));
        mContext.mLinks.add(child);
        if (differs) {
            mMemberSpread.sendWhole(child);
        }
    }

    private void redirect(long link, List<String> addresses) {
        Redirect redirect = Redirect.newBuilder().addAllPeerAddresses(addresses).build();
        mContext.mPort.send(link, mContext.frame().setRedirect(redirect).build());
        mContext.mPort.close(link);
    }

    private List<String> someChildren(List<ControlLink> children) {
        List<String> addresses = new ArrayList<>();
        children.forEach(child -> addresses.add(child.mPeerAddress));
        Collections.shuffle(addresses, new java.util.Random(mContext.mRandom.nextLong()));
        return addresses.subList(0, Math.min(MAX_REDIRECT_ADDRESSES, addresses.size()));
    }

    private List<String> localPeers(String dataCentre) {
        return mContext.mMembers.all().stream()
                .filter(member -> member.getDataCentre().equals(dataCentre))
                .filter(member -> member.getState() != MemberState.MEMBER_STATE_DOWN)
                .limit(MAX_REDIRECT_ADDRESSES)
                .map(Member::getPeerAddress)
                .toList();
    }

    void setDutyAddress(String address) {
        mDutyAddress = address;
    }

    String rolloutLeaderAddress() {
        return mDutyAddress;
    }

    Heartbeat heartbeat() {
        return Heartbeat.newBuilder()
                .setMembersDigest(mContext.mMembers.digest())
                .addAllPath(mPath)
                .setLeadAddress(mLeadAddress)
                .setLeadTerm(leadTerm())
                .setStandby(mStandby)
                .setDutyAddress(mDutyAddress)
                .build();
    }

    void onHeartbeat(ControlLink link, Heartbeat heartbeat) {
        boolean fromParent = mParent.filter(parent -> parent.mId == link.mId).isPresent();
        if (!fromParent) {
            return;
        }
        if (heartbeat.getPathList().contains(mContext.node())) {
            loseParent("loop");
            return;
        }
        mStandby = heartbeat.getStandby();
        if (!heartbeat.getDutyAddress().isEmpty()) {
            mDutyAddress = heartbeat.getDutyAddress();
        }
        mLeadTerm = heartbeat.getLeadTerm();
        if (!heartbeat.getLeadAddress().isEmpty()) {
            mLeadAddress = heartbeat.getLeadAddress();
        }
        List<String> path = extended(heartbeat.getPathList());
        if (!path.equals(mPath)) {
            setPath(path, "path changed above");
        }
    }

    void onClosed(long link) {
        if (link == mHandshakeLink) {
            mHandshakeLink = -1;
            mDialing = false;
        }
        if (mParent.filter(parent -> parent.mId == link).isPresent()) {
            loseParent("connection lost");
        }
    }

    void loseParent(String reason) {
        if (mPath.size() == 2) {
            // The parent was the root itself: others are tried before it, as it may hang.
            mLostLeadTerm = mLeadTerm;
        }
        mParent.ifPresent(this::drop);
        mParent = Optional.empty();
        mDialing = false;
        mCandidates.clear();
        mNextSearchMillis = mContext.nowMillis() + mContext.jitterMillis(SEARCH_PAUSE_MILLIS);
        if (isStandby()) {
            setPath(List.of(mContext.node()), "standby takes over the tree: " + reason);
        } else if (mContext.mLinks.children().isEmpty()) {
            setPath(List.of(), reason);
        } else {
            setPath(List.of(mContext.node()), reason);
        }
    }

    private void setPath(List<String> path, String reason) {
        if (path.size() == 1 && mPath.size() != 1) {
            mRootSinceMillis = mContext.nowMillis();
        }
        mPath = path;
        String root = path.isEmpty() ? null : path.get(0);
        mContext.record(EventKind.PARENT_CHANGED, root, path.size(), reason);
    }
}
