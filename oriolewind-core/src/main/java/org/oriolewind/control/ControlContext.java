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
 * What the parts of the control side share. Belongs to the control thread, but for the
 * configuration and the clock, which are safe for use by several threads.
 */
final class ControlContext {
    final ControlSettings mSettings;
    final NodeClock mClock;
    final HybridClock mHybrid;
    final RandomGenerator mRandom;
    final LinkPort mPort;
    final PlatformExecutor mGateway;
    final EventSink mEvents;
    final InstalledConfig mConfig;
    final MemberTable mMembers = new MemberTable();
    final ControlLinks mLinks = new ControlLinks();
    private Member mSelf;

    ControlContext(
            Member self,
            ControlSettings settings,
            NodeClock clock,
            HybridClock hybrid,
            RandomGenerator random,
            LinkPort port,
            PlatformExecutor gateway,
            EventSink events,
            InstalledConfig config) {
        mSelf = self;
        mSettings = settings;
        mClock = clock;
        mHybrid = hybrid;
        mRandom = random;
        mPort = port;
        mGateway = gateway;
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

    /** Returns a random time up to a limit, for full-jitter backoff. */
    long jitterMillis(long limitMillis) {
        return mRandom.nextLong(Math.max(1, limitMillis));
    }

    Frame.Builder frame() {
        return Frame.newBuilder()
                .setConfigVersion(mConfig.current().version())
                .setHybridTime(mHybrid.next());
    }

    /** Makes the first frame of a link that this node opens. */
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
