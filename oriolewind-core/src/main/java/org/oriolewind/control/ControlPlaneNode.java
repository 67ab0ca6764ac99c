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
 * The control side of one node: its place in the tree, and the spread of configuration, membership
 * and evidence. A function of its inputs, the clock and the random source.
 *
 * <p>All methods belong to the control thread, but for {@link #directory()}, {@link #configReady()}
 * and {@link #rolloutLeaderAddress()}.
 */
public final class ControlPlaneNode {
    private static final String ROLLOUT_DUTY = "rollout";

    private final ControlContext mContext;
    private final PendingDials mDials;
    private final MembershipPropagator mMemberSpread;
    private final ConfigPropagator mConfigSpread;
    private final TreeManager mTree;
    private final BridgeManager mBridges;
    private final MemberProber mProber;
    private final PlatformWatcher mFeed;
    private final MemberWriter mMemberWriter;
    private final LeaseManager mLeadLease;
    private final LeaseManager mRolloutLease;
    private final EvidenceAggregator mEvidence;
    private final RolloutController mRollout;
    private final StartupConfigLoader mStartup;
    private final ConfigHintFetcher mHints;
    private final KeyClaimRegistry mKeys;
    private long mNextHeartbeatMillis;

    /**
     * Creates a control side. It does nothing before the first {@link #tick()}.
     *
     * @param self this node's own entry
     * @param settings the settings
     * @param clock the clock
     * @param hybrid the clock for events
     * @param random source of jitter and choices
     * @param port connections to other nodes
     * @param gateway the platform
     * @param events takes events
     * @param config the configuration in force, changed by this object alone
     * @param collector counts of the request path
     */
    public ControlPlaneNode(
            Member self,
            ControlSettings settings,
            NodeClock clock,
            HybridClock hybrid,
            RandomGenerator random,
            LinkPort port,
            PlatformExecutor gateway,
            EventSink events,
            InstalledConfig config,
            EvidenceCollector collector) {
        mContext =
                new ControlContext(
                        self, settings, clock, hybrid, random, port, gateway, events, config);
        mDials = new PendingDials(port);
        mMemberSpread = new MembershipPropagator(mContext);
        mEvidence = new EvidenceAggregator(mContext, collector);
        mConfigSpread = new ConfigPropagator(mContext, mEvidence::onConfigInstalled);
        mTree = new TreeManager(mContext, mMemberSpread, mDials);
        mBridges = new BridgeManager(mContext, mMemberSpread, mDials);
        mProber = new MemberProber(mContext, mMemberSpread, mDials);
        mFeed = new PlatformWatcher(mContext, mConfigSpread, mMemberSpread, mBridges);
        mMemberWriter = new MemberWriter(mContext, mMemberSpread);
        mLeadLease = newLease(self.getDataCentre());
        mRolloutLease = newLease(ROLLOUT_DUTY);
        mRollout =
                new RolloutController(mContext, mRolloutLease, mEvidence.ledger(), mConfigSpread);
        mStartup = new StartupConfigLoader(mContext, mConfigSpread);
        mHints = new ConfigHintFetcher(mContext, mDials);
        mKeys = new KeyClaimRegistry(gateway, clock);
        mMemberSpread.merge(List.of(self));
    }

    private LeaseManager newLease(String duty) {
        return new LeaseManager(
                duty,
                mContext.node(),
                mContext.self().getIncarnation(),
                mContext.self().getPeerAddress(),
                mContext.mSettings.leaseDuration(),
                mContext.mClock,
                mContext.mRandom,
                mContext.mGateway,
                mContext.mEvents);
    }

    /** Does what is due. To be called several times a second. */
    public void tick() {
        mStartup.tick();
        mLeadLease.tick(candidacy());
        mLeadLease.seen().ifPresent(this::onLeaseSeen);
        boolean lead = mLeadLease.isHeld();
        mTree.tick(lead, mLeadLease.term());
        mBridges.tick(mTree.isRoot());
        mProber.tick();
        mHints.tick();
        mFeed.tick(lead || mTree.isStandby() || mTree.isLastingRoot());
        mMemberWriter.tick(lead, mLeadLease.term());
        mRolloutLease.tick(lead ? Candidacy.ANY : Candidacy.NONE);
        mEvidence.tick(mTree.parent(), mTree.isRoot());
        mRollout.tick();
        mKeys.tick(mRolloutLease.isHeld(), mRolloutLease.term());
        if (lead) {
            mRolloutLease.seen().ifPresent(duty -> mTree.setDutyAddress(duty.address()));
        }
        mMemberSpread.tick();
        beat();
    }

    /** The standby and nodes without a parent may take the lease over. */
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
        if (!mLeadLease.isHeld() && !lease.holder().equals(mContext.node())) {
            mTree.onLeadSeen(lease.address(), lease.term());
        }
    }

    private void beat() {
        long now = mContext.nowMillis();
        if (now < mNextHeartbeatMillis) {
            return;
        }
        mNextHeartbeatMillis = now + mContext.mSettings.heartbeatInterval().toMillis();
        Frame heartbeat = mContext.frame().setHeartbeat(mTree.heartbeat()).build();
        long timeoutMillis = mContext.mSettings.heartbeatTimeout().toMillis();
        for (ControlLink link : mContext.mLinks.all()) {
            if (now - link.mHeardMillis > timeoutMillis) {
                mContext.mPort.close(link.mId);
                onClosed(link.mId);
            } else {
                mContext.mPort.send(link.mId, heartbeat);
            }
        }
    }

    /**
     * Takes the success of a dial.
     *
     * @param dial the dial's number
     * @param link the new link
     */
    public void onDialed(long dial, long link) {
        mDials.onDialed(dial, link);
    }

    /**
     * Takes the failure of a dial.
     *
     * @param dial the dial's number
     */
    public void onDialFailed(long dial) {
        mDials.onDialFailed(dial);
    }

    /**
     * Takes the first frame of a link that another node opened.
     *
     * @param link the link
     * @param frame a frame with a hello whose purpose is not to carry calls
     */
    public void onHello(long link, Frame frame) {
        mContext.mHybrid.observe(frame.getHybridTime());
        Hello hello = frame.getHello();
        switch (hello.getPurpose()) {
            case LINK_PURPOSE_CHILD -> mTree.onChildHello(link, hello, frame.getConfigVersion());
            case LINK_PURPOSE_BRIDGE ->
                    mBridges.onBridgeHello(link, hello, frame.getConfigVersion());
            case LINK_PURPOSE_PROBE -> answerProbe(link);
            default -> mContext.mPort.close(link);
        }
        mContext.mLinks
                .find(link)
                .ifPresent(l -> mConfigSpread.onVersionHeard(l, frame.getConfigVersion()));
    }

    private void answerProbe(long link) {
        Welcome welcome =
                Welcome.newBuilder()
                        .setNode(mContext.node())
                        .setIncarnation(mContext.self().getIncarnation())
                        .build();
        mContext.mPort.send(link, mContext.frame().setWelcome(welcome).build());
        mContext.mPort.close(link);
    }

    /**
     * Takes a frame other than a hello.
     *
     * @param linkId the link
     * @param frame the frame
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
            link.get().mHeardMillis = mContext.nowMillis();
            onLinkFrame(link.get(), frame);
        }
    }

    private void onWelcome(long link, Frame frame) {
        Welcome welcome = frame.getWelcome();
        boolean taken =
                mTree.onWelcome(link, welcome, frame.getConfigVersion())
                        || mBridges.onWelcome(link, welcome, frame.getConfigVersion())
                        || mProber.onWelcome(link, welcome)
                        || mHints.onWelcome(link, welcome);
        if (!taken) {
            mContext.mPort.close(link);
        }
    }

    private void onLinkFrame(ControlLink link, Frame frame) {
        switch (frame.getBodyCase()) {
            case HEARTBEAT -> {
                mTree.onHeartbeat(link, frame.getHeartbeat());
                mMemberSpread.onDigest(link, frame.getHeartbeat().getMembersDigest());
            }
            case CONFIG_UPDATE -> mConfigSpread.onUpdate(link, frame.getConfigUpdate());
            case CONFIG_PULL -> mConfigSpread.onPull(link, frame.getConfigPull());
            case MEMBER_UPDATE -> mMemberSpread.onUpdate(link, frame.getMemberUpdate());
            case EVIDENCE_REPORT ->
                    mEvidence.onReport(link, frame.getEvidenceReport(), mTree.isRoot());
            default -> {
                // Welcome and redirect were taken before; other kinds do not belong on this link.
            }
        }
        if (!frame.hasConfigPull()) {
            mConfigSpread.onVersionHeard(link, frame.getConfigVersion());
        }
    }

    /**
     * Takes the loss of a link.
     *
     * @param link the link
     */
    public void onClosed(long link) {
        boolean child =
                mContext.mLinks
                        .find(link)
                        .filter(l -> !l.mDialed && l.mPurpose == LinkPurpose.LINK_PURPOSE_CHILD)
                        .isPresent();
        Optional<ControlLink> removed = mContext.mLinks.remove(link);
        mTree.onClosed(link);
        mBridges.onClosed(link);
        mProber.onClosed(link);
        mHints.onClosed(link);
        if (child) {
            mProber.check(removed.get().mNode);
        }
    }

    /**
     * Takes word, heard along a call, that another node runs a newer configuration.
     *
     * @param peerAddress the other node's peer address
     * @param version its configuration version
     */
    public void onNewerVersionReported(String peerAddress, long version) {
        mHints.onHeard(peerAddress, version);
    }

    /**
     * Takes a request to the key duty. It is refused unless this node holds the duty.
     *
     * @param request a request with a key operation
     * @param done called once with the answer
     */
    public void onKeyRequest(CallRequest request, Consumer<CallAnswer> done) {
        mKeys.onRequest(request, done);
    }

    /**
     * Returns the peer address of the holder of the key duty. Safe for use by several threads.
     *
     * @return the address as last heard, empty if none was
     */
    public String rolloutLeaderAddress() {
        return mTree.rolloutLeaderAddress();
    }

    /**
     * Announces that this node takes no new work, or takes it again.
     *
     * @param state the new state, up or leaving
     */
    public void announce(MemberState state) {
        Member self = mContext.self();
        if (self.getState() != state) {
            mMemberSpread.changeSelf(
                    self.toBuilder().setSequence(self.getSequence() + 1).setState(state).build());
            mMemberSpread.tick();
        }
    }

    /**
     * Returns the members that take calls. Safe for use by several threads.
     *
     * @return an immutable view
     */
    public MemberDirectory directory() {
        return mContext.mMembers.directory();
    }

    /**
     * Returns whether the node may take calls: a configuration is in force, and the platform or, if
     * it is away, the peers were asked for a newer one. Safe for use by several threads.
     *
     * @return true once ready
     */
    public boolean configReady() {
        return mStartup.isReady();
    }

    /**
     * Returns the term of this node's view of the data centre's lease.
     *
     * @return the term, 0 if the lease was never read
     */
    long leadTerm() {
        return mLeadLease.term();
    }

    /**
     * Returns a picture for operators.
     *
     * @return the status
     */
    public ControlStatus status() {
        return new ControlStatus(
                mContext.node(),
                mContext.self().getIncarnation(),
                mContext.dataCentre(),
                mContext.self().getState().name().substring("MEMBER_STATE_".length()),
                mContext.mConfig.current().version(),
                mLeadLease.isHeld(),
                mRolloutLease.isHeld(),
                mTree.path(),
                mContext.mLinks.children().size(),
                mContext.mMembers.all().size());
    }
}
