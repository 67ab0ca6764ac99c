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
 * Maintains this node's position in the control tree of its data centre. The lease holder is the
 * root; a node that finds no parent acts as a root for others until it finds the lease holder's
 * tree.
 *
 * <p>Invariants: a path never contains a node twice, so the tree has no loops; a node has at most
 * {@link ControlSettings#maxChildren()} children. Confined to the control thread.
 */
final class TreeManager {
    private static final int MAX_REDIRECT_ADDRESSES = 3;
    private static final long HANDSHAKE_TIMEOUT_MILLIS = 1000;
    private static final long SEARCH_PAUSE_MILLIS = 1000;
    private static final long STABLE_ROOT_MILLIS = 5000;
    private static final long SEARCH_JITTER_MILLIS = 3000;

    private final ControlContext mContext;
    private final MembershipPropagator mMembershipPropagator;
    private final PendingDials mPendingDials;

    private final ParentCandidates mCandidates;
    private Optional<ControlLink> mParent = Optional.empty();
    private List<String> mPath = List.of();
    private String mLeaderAddress = "";
    private long mLeaderTerm;
    private long mLostLeaderTerm = -1;
    private long mRootSinceMillis;
    private String mStandby = "";
    private volatile String mRolloutLeaderAddress = "";
    private boolean mLeaseHeld;
    private boolean mDialing;
    private long mHandshakeLink = -1;
    private long mDialDeadlineMillis;
    private long mNextSearchMillis;

    TreeManager(
            ControlContext context,
            MembershipPropagator membershipPropagator,
            PendingDials pendingDials) {
        mContext = context;
        mMembershipPropagator = membershipPropagator;
        mPendingDials = pendingDials;
        mCandidates = new ParentCandidates(context);
    }

    boolean isRoot() {
        return mParent.isEmpty() && !mPath.isEmpty();
    }

    /** Returns whether this node has been a root for longer than a search for a parent takes. */
    boolean isStableRoot() {
        return isRoot() && mContext.nowMillis() - mRootSinceMillis >= STABLE_ROOT_MILLIS;
    }

    Optional<ControlLink> parent() {
        return mParent;
    }

    List<String> path() {
        return mPath;
    }

    /** Returns whether this node is the leader's standby, which also watches the platform. */
    boolean isStandby() {
        return mStandby.equals(mContext.node());
    }

    /**
     * Returns the term of the lease holder at the root of this tree, 0 if this node neither holds
     * the lease nor has a parent.
     */
    long leaderTerm() {
        return mLeaseHeld || mParent.isPresent() ? mLeaderTerm : 0;
    }

    /** Records the lease holder that the platform's lease object names. */
    void onLeaderSeen(String address, long term) {
        if (term >= mLeaderTerm && !address.equals(mContext.self().getPeerAddress())) {
            if (term > mLostLeaderTerm && !address.equals(mLeaderAddress) && mParent.isEmpty()) {
                mCandidates.addFirst(address);
                mNextSearchMillis = Math.min(mNextSearchMillis, mContext.nowMillis());
            }
            mLeaderAddress = address;
            mLeaderTerm = term;
        }
    }

    void tick(boolean leaseHeld, long term) {
        if (leaseHeld) {
            becomeLeader(term);
            return;
        }
        if (mLeaseHeld) {
            mLeaseHeld = false;
            mLeaderTerm = 0;
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

    private void becomeLeader(long term) {
        mLeaderTerm = term;
        mLeaderAddress = mContext.self().getPeerAddress();
        if (!mLeaseHeld) {
            mLeaseHeld = true;
            mParent.ifPresent(this::closeLink);
            mParent = Optional.empty();
            setPath(List.of(mContext.node()), "holds the lease");
        }
        boolean standbyGone =
                mContext.mLinks.children().stream().noneMatch(c -> c.mNode.equals(mStandby));
        if (standbyGone) {
            mStandby = mContext.mLinks.children().stream().findFirst().map(c -> c.mNode).orElse("");
        }
    }

    private void closeLink(ControlLink link) {
        mContext.mLinks.remove(link.mId);
        mContext.mTransport.close(link.mId);
    }

    private void abandonDial() {
        mDialing = false;
        if (mHandshakeLink >= 0) {
            mContext.mTransport.close(mHandshakeLink);
            mHandshakeLink = -1;
        }
    }

    private void dialNext() {
        boolean leaderLost = mLeaderTerm <= mLostLeaderTerm;
        Optional<String> address = mCandidates.next(mLeaderAddress, leaderLost, mStandby);
        if (address.isEmpty()) {
            endSearch();
            return;
        }
        mDialing = true;
        mDialDeadlineMillis = mContext.nowMillis() + HANDSHAKE_TIMEOUT_MILLIS;
        mPendingDials.dial(address.get(), this::onDialed, this::onDialFailed);
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
            mContext.mTransport.close(link);
            return;
        }
        mHandshakeLink = link;
        mContext.mTransport.send(link, mContext.hello(LinkPurpose.LINK_PURPOSE_CHILD));
    }

    private void onDialFailed() {
        mDialing = false;
    }

    /**
     * Handles the welcome of a node that accepts this one as its child. Returns false if the link
     * is not the one on which this node sent a hello as a child.
     */
    boolean onWelcome(long link, Welcome welcome, long configVersion) {
        if (link != mHandshakeLink) {
            return false;
        }
        mHandshakeLink = -1;
        mDialing = false;
        if (welcome.getPathList().contains(mContext.node()) || mLeaseHeld) {
            mContext.mTransport.close(link);
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
        parent.mPeerConfigVersion = configVersion;
        mContext.mLinks.add(parent);
        mParent = Optional.of(parent);
        mCandidates.clear();
        setPath(withSelf(welcome.getPathList()), "parent " + welcome.getNode());
        return true;
    }

    private List<String> withSelf(List<String> parentPath) {
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

    /**
     * Accepts a node as a child or redirects it: to its own data centre if that is another one, or
     * to this node's children if there are too many. The redirect has no address if the child is
     * above this node, which would form a loop, or if this node has no path.
     */
    void onChildHello(long link, Hello hello, long configVersion) {
        Member child = hello.getSelf();
        boolean otherDataCentre = !child.getDataCentre().equals(mContext.dataCentre());
        boolean loop = mPath.contains(child.getNode());
        List<ControlLink> children = mContext.mLinks.children();
        if (otherDataCentre || loop || mPath.isEmpty()) {
            redirect(link, otherDataCentre ? liveAddressesIn(child.getDataCentre()) : List.of());
            return;
        }
        children.stream().filter(old -> old.mNode.equals(child.getNode())).forEach(this::closeLink);
        if (mContext.mLinks.children().size() >= mContext.mSettings.maxChildren()) {
            redirect(link, randomChildAddresses(children));
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
        child.mPeerConfigVersion = configVersion;
        Welcome welcome =
                Welcome.newBuilder()
                        .setNode(mContext.node())
                        .setIncarnation(mContext.self().getIncarnation())
                        .setMembersDigest(mContext.mMembers.digest())
                        .addAllPath(mPath)
                        .build();
        mContext.mTransport.send(link, mContext.frame().setWelcome(welcome).build());
        boolean differs = hello.getMembersDigest() != mContext.mMembers.digest();
        mMembershipPropagator.merge(List.of(hello.getSelf()));
        mContext.mLinks.add(child);
        if (differs) {
            mMembershipPropagator.sendFullTable(child);
        }
    }

    private void redirect(long link, List<String> addresses) {
        Redirect redirect = Redirect.newBuilder().addAllPeerAddresses(addresses).build();
        mContext.mTransport.send(link, mContext.frame().setRedirect(redirect).build());
        mContext.mTransport.close(link);
    }

    private List<String> randomChildAddresses(List<ControlLink> children) {
        List<String> addresses = new ArrayList<>();
        children.forEach(child -> addresses.add(child.mPeerAddress));
        Collections.shuffle(addresses, new java.util.Random(mContext.mRandom.nextLong()));
        return addresses.subList(0, Math.min(MAX_REDIRECT_ADDRESSES, addresses.size()));
    }

    private List<String> liveAddressesIn(String dataCentre) {
        return mContext.mMembers.all().stream()
                .filter(member -> member.getDataCentre().equals(dataCentre))
                .filter(member -> member.getState() != MemberState.MEMBER_STATE_DOWN)
                .limit(MAX_REDIRECT_ADDRESSES)
                .map(Member::getPeerAddress)
                .toList();
    }

    void setRolloutLeaderAddress(String address) {
        mRolloutLeaderAddress = address;
    }

    String rolloutLeaderAddress() {
        return mRolloutLeaderAddress;
    }

    Heartbeat heartbeat() {
        return Heartbeat.newBuilder()
                .setMembersDigest(mContext.mMembers.digest())
                .addAllPath(mPath)
                .setLeadAddress(mLeaderAddress)
                .setLeadTerm(leaderTerm())
                .setStandby(mStandby)
                .setDutyAddress(mRolloutLeaderAddress)
                .build();
    }

    void onHeartbeat(ControlLink link, Heartbeat heartbeat) {
        boolean fromParent = mParent.filter(parent -> parent.mId == link.mId).isPresent();
        if (!fromParent) {
            return;
        }
        if (heartbeat.getPathList().contains(mContext.node())) {
            onParentLost("loop");
            return;
        }
        mStandby = heartbeat.getStandby();
        if (!heartbeat.getDutyAddress().isEmpty()) {
            mRolloutLeaderAddress = heartbeat.getDutyAddress();
        }
        mLeaderTerm = heartbeat.getLeadTerm();
        if (!heartbeat.getLeadAddress().isEmpty()) {
            mLeaderAddress = heartbeat.getLeadAddress();
        }
        List<String> path = withSelf(heartbeat.getPathList());
        if (!path.equals(mPath)) {
            setPath(path, "path of the parent changed");
        }
    }

    void onClosed(long link) {
        if (link == mHandshakeLink) {
            mHandshakeLink = -1;
            mDialing = false;
        }
        if (mParent.filter(parent -> parent.mId == link).isPresent()) {
            onParentLost("connection lost");
        }
    }

    void onParentLost(String reason) {
        if (mPath.size() == 2) {
            // The parent was the root. It may be unresponsive, so other nodes are tried before it.
            mLostLeaderTerm = mLeaderTerm;
        }
        mParent.ifPresent(this::closeLink);
        mParent = Optional.empty();
        mDialing = false;
        mCandidates.clear();
        mNextSearchMillis = mContext.nowMillis() + mContext.jitterMillis(SEARCH_PAUSE_MILLIS);
        if (isStandby()) {
            setPath(List.of(mContext.node()), "standby becomes the root: " + reason);
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
