package org.oriolewind.control;

import java.util.random.RandomGenerator;
import org.oriolewind.config.InstalledConfig;
import org.oriolewind.event.Event;
import org.oriolewind.event.EventKind;
import org.oriolewind.event.EventSink;
import org.oriolewind.membership.MemberTable;
import org.oriolewind.platform.PlatformExecutor;
import org.oriolewind.time.HybridClock;
import org.oriolewind.time.NodeClock;
import org.oriolewind.wire.Frame;
import org.oriolewind.wire.Hello;
import org.oriolewind.wire.LinkPurpose;
import org.oriolewind.wire.Member;

/**
 * State and services shared by the classes of the control plane of one node. Confined to the
 * control thread, except for the configuration and the clocks, which are thread-safe.
 */
final class ControlContext {
    final ControlSettings mSettings;
    final NodeClock mClock;
    final HybridClock mHybrid;
    final RandomGenerator mRandom;
    final LinkTransport mTransport;
    final PlatformExecutor mPlatformExecutor;
    final EventSink mEvents;
    final InstalledConfig mConfig;
    final MemberTable mMembers = new MemberTable();
    final ControlLinkTable mLinks = new ControlLinkTable();
    private Member mSelf;

    ControlContext(
            Member self,
            ControlSettings settings,
            NodeClock clock,
            HybridClock hybrid,
            RandomGenerator random,
            LinkTransport transport,
            PlatformExecutor platformExecutor,
            EventSink events,
            InstalledConfig config) {
        mSelf = self;
        mSettings = settings;
        mClock = clock;
        mHybrid = hybrid;
        mRandom = random;
        mTransport = transport;
        mPlatformExecutor = platformExecutor;
        mEvents = events;
        mConfig = config;
    }

    Member self() {
        return mSelf;
    }

    void setSelf(Member self) {
        mSelf = self;
    }

    String node() {
        return mSelf.getNode();
    }

    String dataCentre() {
        return mSelf.getDataCentre();
    }

    long nowMillis() {
        return mClock.monotonicMillis();
    }

    /** Returns a random time from 0 to less than a limit, for backoff with full jitter. */
    long jitterMillis(long limitMillis) {
        return mRandom.nextLong(Math.max(1, limitMillis));
    }

    Frame.Builder frame() {
        return Frame.newBuilder()
                .setConfigVersion(mConfig.current().version())
                .setHybridTime(mHybrid.next());
    }

    /** Builds the hello frame, the first one on a link that this node opens. */
    Frame hello(LinkPurpose purpose) {
        Hello hello =
                Hello.newBuilder()
                        .setPurpose(purpose)
                        .setSelf(mSelf)
                        .setMembersDigest(mMembers.digest())
                        .build();
        return frame().setHello(hello).build();
    }

    void record(EventKind kind, String peer, long value, String detail) {
        mEvents.record(Event.of(kind, peer, value, detail));
    }
}
