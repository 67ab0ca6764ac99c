package org.oriolewind.control;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.oriolewind.analysis.EvidenceCollector;
import org.oriolewind.config.InstalledConfig;
import org.oriolewind.event.EventSink;
import org.oriolewind.idempotency.KeyClaimRegistry;
import org.oriolewind.lease.Candidacy;
import org.oriolewind.lease.LeaseManager;
import org.oriolewind.lease.LeaseRecord;
import org.oriolewind.membership.MemberDirectory;
import org.oriolewind.platform.PlatformExecutor;
import org.oriolewind.time.HybridClock;
import org.oriolewind.time.NodeClock;
import org.oriolewind.wire.CallAnswer;
import org.oriolewind.wire.CallRequest;
import org.oriolewind.wire.Frame;
import org.oriolewind.wire.Hello;
import org.oriolewind.wire.LinkPurpose;
import org.oriolewind.wire.Member;
import org.oriolewind.wire.MemberState;
import org.oriolewind.wire.Welcome;

/**
 * The control plane of one node: its position in the control tree, leader election, and the
 * propagation of configuration, membership and the evidence about moves. It does no I/O itself; its
 * behaviour depends only on its inputs, the clock and the random source.
 *
 * <p>All methods are confined to the control thread, except for {@link #directory()}, {@link
 * #isConfigReady()} and {@link #rolloutLeaderAddress()}.
 */
public final class ControlPlaneNode {
    private static final String ROLLOUT_LEASE = "rollout";

    private final ControlContext mContext;
    private final PendingDials mPendingDials;
    private final MembershipPropagator mMembershipPropagator;
    private final ConfigPropagator mConfigPropagator;
    private final TreeManager mTree;
    private final BridgeManager mBridgeManager;
    private final MemberProber mProber;
    private final PlatformWatcher mPlatformWatcher;
    private final MemberWriter mMemberWriter;
    private final LeaseManager mLeaderLease;
    private final LeaseManager mRolloutLease;
    private final EvidenceAggregator mEvidenceAggregator;
    private final MoveController mMoveController;
    private final StartupConfigLoader mStartupLoader;
    private final NewerConfigFetcher mNewerConfigFetcher;
    private final KeyClaimRegistry mKeyClaims;
    private long mNextHeartbeatMillis;

    /**
     * Creates the control plane of a node. It neither dials nor calls the platform before the first
     * {@link #tick()}.
     *
     * @param self this node's own member entry when it starts
     * @param settings intervals, timeouts and limits
     * @param clock wall time and monotonic time
     * @param hybrid hybrid logical clock that stamps frames
     * @param random source of jitter and random choices; seeded in tests
     * @param transport opens and uses connections to other nodes
     * @param platformExecutor runs calls to the platform off the control thread
     * @param events sink for control-plane events
     * @param config the current configuration, which only this object changes
     * @param collector outcome counts from the request path, drained on each report
     */
    public ControlPlaneNode(
            Member self,
            ControlSettings settings,
            NodeClock clock,
            HybridClock hybrid,
            RandomGenerator random,
            LinkTransport transport,
            PlatformExecutor platformExecutor,
            EventSink events,
            InstalledConfig config,
            EvidenceCollector collector) {
        mContext =
                new ControlContext(
                        self,
                        settings,
                        clock,
                        hybrid,
                        random,
                        transport,
                        platformExecutor,
                        events,
                        config);
        mPendingDials = new PendingDials(transport);
        mMembershipPropagator = new MembershipPropagator(mContext);
        mEvidenceAggregator = new EvidenceAggregator(mContext, collector);
        mConfigPropagator = new ConfigPropagator(mContext, mEvidenceAggregator::onConfigInstalled);
        mTree = new TreeManager(mContext, mMembershipPropagator, mPendingDials);
        mBridgeManager = new BridgeManager(mContext, mMembershipPropagator, mPendingDials);
        mProber = new MemberProber(mContext, mMembershipPropagator, mPendingDials);
        mPlatformWatcher =
                new PlatformWatcher(
                        mContext, mConfigPropagator, mMembershipPropagator, mBridgeManager);
        mMemberWriter = new MemberWriter(mContext, mMembershipPropagator);
        mLeaderLease = newLease(self.getDataCentre());
        mRolloutLease = newLease(ROLLOUT_LEASE);
        mMoveController =
                new MoveController(
                        mContext,
                        mRolloutLease,
                        mEvidenceAggregator.evidenceWindows(),
                        mConfigPropagator);
        mStartupLoader = new StartupConfigLoader(mContext, mConfigPropagator);
        mNewerConfigFetcher = new NewerConfigFetcher(mContext, mPendingDials);
        mKeyClaims = new KeyClaimRegistry(platformExecutor, clock);
        mMembershipPropagator.merge(List.of(self));
    }

    private LeaseManager newLease(String name) {
        return new LeaseManager(
                name,
                mContext.node(),
                mContext.self().getIncarnation(),
                mContext.self().getPeerAddress(),
                mContext.mSettings.leaseDuration(),
                mContext.mClock,
                mContext.mRandom,
                mContext.mPlatformExecutor,
                mContext.mEvents);
    }

    /** Runs all timed work that is due. The control thread calls it several times a second. */
    public void tick() {
        mStartupLoader.tick();
        mLeaderLease.tick(candidacy());
        mLeaderLease.observed().ifPresent(this::onLeaseSeen);
        boolean leader = mLeaderLease.isHeld();
        mTree.tick(leader, mLeaderLease.term());
        mBridgeManager.tick(mTree.isRoot());
        mProber.tick();
        mNewerConfigFetcher.tick();
        mPlatformWatcher.tick(leader || mTree.isStandby() || mTree.isStableRoot());
        mMemberWriter.tick(leader, mLeaderLease.term());
        mRolloutLease.tick(leader ? Candidacy.ANY : Candidacy.NONE);
        mEvidenceAggregator.tick(mTree.parent(), mTree.isRoot());
        mMoveController.tick();
        mKeyClaims.tick(mRolloutLease.isHeld(), mRolloutLease.term());
        if (leader) {
            mRolloutLease
                    .observed()
                    .ifPresent(lease -> mTree.setRolloutLeaderAddress(lease.address()));
        }
        mMembershipPropagator.tick();
        sendHeartbeats();
    }

    /**
     * Returns whether this node may take over the lease: only the standby and nodes without a
     * parent may, and none that is leaving.
     */
    private Candidacy candidacy() {
        if (mContext.self().getState() == MemberState.MEMBER_STATE_LEAVING) {
            return Candidacy.NONE;
        }
        if (mTree.isStandby()) {
            return Candidacy.SUCCESSOR;
        }
        return mTree.parent().isEmpty() ? Candidacy.ANY : Candidacy.NONE;
    }

    private void onLeaseSeen(LeaseRecord lease) {
        if (!mLeaderLease.isHeld() && !lease.holder().equals(mContext.node())) {
            mTree.onLeaderSeen(lease.address(), lease.term());
        }
    }

    private void sendHeartbeats() {
        long now = mContext.nowMillis();
        if (now < mNextHeartbeatMillis) {
            return;
        }
        mNextHeartbeatMillis = now + mContext.mSettings.heartbeatInterval().toMillis();
        Frame heartbeat = mContext.frame().setHeartbeat(mTree.heartbeat()).build();
        long timeoutMillis = mContext.mSettings.heartbeatTimeout().toMillis();
        for (ControlLink link : mContext.mLinks.all()) {
            if (now - link.mLastReceivedMillis > timeoutMillis) {
                mContext.mTransport.close(link.mId);
                onClosed(link.mId);
            } else {
                mContext.mTransport.send(link.mId, heartbeat);
            }
        }
    }

    /**
     * Reports that a dial succeeded. The link is closed if nothing waits for it any more.
     *
     * @param dial the number passed to {@link LinkTransport#dial}
     * @param link the number of the new link
     */
    public void onDialed(long dial, long link) {
        mPendingDials.onDialed(dial, link);
    }

    /**
     * Reports that a dial failed or timed out.
     *
     * @param dial the number passed to {@link LinkTransport#dial}
     */
    public void onDialFailed(long dial) {
        mPendingDials.onDialFailed(dial);
    }

    /**
     * Handles the first frame on a link that another node opened. A link with an unknown purpose is
     * closed.
     *
     * @param frame a frame with a hello; links that carry calls are not passed to the control plane
     */
    public void onHello(long link, Frame frame) {
        mContext.mHybrid.observe(frame.getHybridTime());
        Hello hello = frame.getHello();
        switch (hello.getPurpose()) {
            case LINK_PURPOSE_CHILD -> mTree.onChildHello(link, hello, frame.getConfigVersion());
            case LINK_PURPOSE_BRIDGE ->
                    mBridgeManager.onBridgeHello(link, hello, frame.getConfigVersion());
            case LINK_PURPOSE_PROBE -> answerProbe(link);
            default -> mContext.mTransport.close(link);
        }
        mContext.mLinks
                .find(link)
                .ifPresent(l -> mConfigPropagator.onPeerVersion(l, frame.getConfigVersion()));
    }

    private void answerProbe(long link) {
        Welcome welcome =
                Welcome.newBuilder()
                        .setNode(mContext.node())
                        .setIncarnation(mContext.self().getIncarnation())
                        .build();
        mContext.mTransport.send(link, mContext.frame().setWelcome(welcome).build());
        mContext.mTransport.close(link);
    }

    /**
     * Handles a frame other than a hello. Frames on a link that is not open are ignored, except for
     * the answers to a hello.
     *
     * @param linkId the link's number
     * @param frame the frame as received
     */
    public void onFrame(long linkId, Frame frame) {
        mContext.mHybrid.observe(frame.getHybridTime());
        if (frame.hasWelcome()) {
            onWelcome(linkId, frame);
        } else if (frame.hasRedirect()) {
            mTree.onRedirect(linkId, frame.getRedirect());
        }
        Optional<ControlLink> link = mContext.mLinks.find(linkId);
        if (link.isPresent()) {
            link.get().mLastReceivedMillis = mContext.nowMillis();
            onLinkFrame(link.get(), frame);
        }
    }

    private void onWelcome(long link, Frame frame) {
        Welcome welcome = frame.getWelcome();
        boolean handled =
                mTree.onWelcome(link, welcome, frame.getConfigVersion())
                        || mBridgeManager.onWelcome(link, welcome, frame.getConfigVersion())
                        || mProber.onWelcome(link, welcome)
                        || mNewerConfigFetcher.onWelcome(link, welcome);
        if (!handled) {
            mContext.mTransport.close(link);
        }
    }

    private void onLinkFrame(ControlLink link, Frame frame) {
        switch (frame.getBodyCase()) {
            case HEARTBEAT -> {
                mTree.onHeartbeat(link, frame.getHeartbeat());
                mMembershipPropagator.onDigest(link, frame.getHeartbeat().getMembersDigest());
            }
            case CONFIG_UPDATE -> mConfigPropagator.onUpdate(link, frame.getConfigUpdate());
            case CONFIG_PULL -> mConfigPropagator.onPull(link, frame.getConfigPull());
            case MEMBER_UPDATE -> mMembershipPropagator.onUpdate(link, frame.getMemberUpdate());
            case EVIDENCE_REPORT ->
                    mEvidenceAggregator.onReport(link, frame.getEvidenceReport(), mTree.isRoot());
            default -> {
                // Welcome and redirect are handled in onFrame; no other kind is valid on this link.
            }
        }
        if (!frame.hasConfigPull()) {
            mConfigPropagator.onPeerVersion(link, frame.getConfigVersion());
        }
    }

    /**
     * Handles the loss of a link, by disconnection or missed heartbeats. A child whose link is lost
     * is probed at once.
     */
    public void onClosed(long link) {
        boolean child =
                mContext.mLinks
                        .find(link)
                        .filter(l -> !l.mDialed && l.mPurpose == LinkPurpose.LINK_PURPOSE_CHILD)
                        .isPresent();
        Optional<ControlLink> removed = mContext.mLinks.remove(link);
        mTree.onClosed(link);
        mBridgeManager.onClosed(link);
        mProber.onClosed(link);
        mNewerConfigFetcher.onClosed(link);
        if (child) {
            mProber.probeIfLive(removed.get().mNode);
        }
    }

    /**
     * Reports a newer configuration version that another node attached to a call.
     *
     * @param peerAddress the other node's peer address, as {@code host:port}
     * @param version the configuration version that it runs
     */
    public void onNewerVersionReported(String peerAddress, long version) {
        mNewerConfigFetcher.onNewerVersionReported(peerAddress, version);
    }

    /**
     * Handles an operation on idempotency keys. It is answered as not run unless this node holds
     * the rollout lease, whose holder serves these operations.
     *
     * @param request a request with a key operation
     * @param done called exactly once with the answer
     */
    public void onKeyRequest(CallRequest request, Consumer<CallAnswer> done) {
        mKeyClaims.onRequest(request, done);
    }

    /**
     * Returns the peer address of the holder of the rollout lease, which decides the moves and
     * serves operations on idempotency keys. Thread-safe.
     *
     * @return the last known address, an empty string if there was none yet
     */
    public String rolloutLeaderAddress() {
        return mTree.rolloutLeaderAddress();
    }

    /**
     * Announces to all members that this node accepts no new calls, or accepts them again.
     *
     * @param state the new state, up or leaving; the current state has no effect
     */
    public void announce(MemberState state) {
        Member self = mContext.self();
        if (self.getState() != state) {
            mMembershipPropagator.changeSelf(
                    self.toBuilder().setSequence(self.getSequence() + 1).setState(state).build());
            mMembershipPropagator.tick();
        }
    }

    /**
     * Returns the members that accept calls. Thread-safe.
     *
     * @return an immutable directory, replaced by another on each change
     */
    public MemberDirectory directory() {
        return mContext.mMembers.directory();
    }

    /**
     * Returns whether the node may accept calls: it has a configuration, and has read the
     * platform's or, while the platform is unavailable, given its peers time to send a newer one.
     * Thread-safe.
     *
     * @return true once ready; it never becomes false again
     */
    public boolean isConfigReady() {
        return mStartupLoader.isReady();
    }

    /**
     * Returns the term of the data centre's lease as this node last observed it.
     *
     * @return the term, 0 if the lease was never read
     */
    long leaderTerm() {
        return mLeaderLease.term();
    }

    /**
     * Returns the state of the control plane, which is published to operators.
     *
     * @return an immutable copy
     */
    public ControlStatus status() {
        return new ControlStatus(
                mContext.node(),
                mContext.self().getIncarnation(),
                mContext.dataCentre(),
                mContext.self().getState().name().substring("MEMBER_STATE_".length()),
                mContext.mConfig.current().version(),
                mLeaderLease.isHeld(),
                mRolloutLease.isHeld(),
                mTree.path(),
                mContext.mLinks.children().size(),
                mContext.mMembers.all().size());
    }
}
