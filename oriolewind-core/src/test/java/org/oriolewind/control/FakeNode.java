package org.oriolewind.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import org.oriolewind.analysis.EvidenceCollector;
import org.oriolewind.config.InstalledConfig;
import org.oriolewind.platform.PlatformException;
import org.oriolewind.platform.PlatformExecutor;
import org.oriolewind.platform.PlatformResult;
import org.oriolewind.platform.PlatformTask;
import org.oriolewind.platform.WatchBatch;
import org.oriolewind.time.HybridClock;
import org.oriolewind.wire.Frame;
import org.oriolewind.wire.Member;
import org.oriolewind.wire.MemberState;

/** The control plane of one node on the in-memory network. */
final class FakeNode implements LinkTransport, PlatformExecutor {
    private static final long DIAL_TIMEOUT_MILLIS = 1000;
    private static final long WATCH_POLL_MILLIS = 20;

    final String mName;
    final String mDataCentre;
    final ControlPlaneNode mControl;
    final InstalledConfig mConfig = new InstalledConfig();
    final EvidenceCollector mEvidence = new EvidenceCollector();
    boolean mAlive = true;
    boolean mPaused;
    private final FakeMesh mMesh;
    private final Map<Long, LinkEnd> mLinks = new HashMap<>();
    private long mHighestVersion;

    /** One end of a link: the peer, the peer's number of the link, and whether a hello was sent. */
    private record LinkEnd(FakeNode peer, long peerLink, boolean[] helloSent) {}

    FakeNode(FakeMesh mesh, String name, String dataCentre, long incarnation) {
        mMesh = mesh;
        mName = name;
        mDataCentre = dataCentre;
        Member self =
                Member.newBuilder()
                        .setNode(name)
                        .setIncarnation(incarnation)
                        .setSequence(1)
                        .setState(MemberState.MEMBER_STATE_UP)
                        .setDataCentre(dataCentre)
                        .setService("holders")
                        .setServiceVersion("v1")
                        .setPeerAddress(name + ":1")
                        .build();
        ControlSettings defaults = ControlSettings.defaults();
        ControlSettings settings =
                new ControlSettings(
                        defaults.heartbeatInterval(),
                        defaults.heartbeatTimeout(),
                        defaults.probeInterval(),
                        defaults.leaseDuration(),
                        Duration.ofSeconds(2),
                        4,
                        List.of(dataCentre + "-n00:1", dataCentre + "-n01:1"));
        mControl =
                new ControlPlaneNode(
                        self,
                        settings,
                        mesh.mClock,
                        new HybridClock(mesh.mClock),
                        new Random(mesh.mRandom.nextLong()),
                        this,
                        this,
                        event -> {},
                        mConfig,
                        mEvidence);
    }

    long version() {
        return mConfig.current().version();
    }

    int upMembers() {
        return mControl.directory().up("holders", "v1").size();
    }

    void tick() {
        if (!mPaused) {
            mControl.tick();
        }
        if (version() < mHighestVersion) {
            throw new AssertionError(mName + " returned to version " + version());
        }
        mHighestVersion = version();
    }

    void stop() {
        mAlive = false;
        for (LinkEnd linkEnd : mLinks.values()) {
            linkEnd.peer().deliverClosed(linkEnd.peerLink());
        }
    }

    private void deliverClosed(long link) {
        mMesh.deliver(
                this,
                () -> {
                    if (mLinks.remove(link) != null) {
                        mControl.onClosed(link);
                    }
                });
    }

    @Override
    public void dial(String peerAddress, long dial) {
        FakeNode peer = mMesh.at(peerAddress);
        if (peer == null) {
            mMesh.deliver(this, () -> mControl.onDialFailed(dial));
            return;
        }
        if (!mMesh.reachable(this, peer)) {
            mMesh.deliver(this, DIAL_TIMEOUT_MILLIS, () -> mControl.onDialFailed(dial));
            return;
        }
        long mine = mMesh.nextLinkId();
        long theirs = mMesh.nextLinkId();
        mLinks.put(mine, new LinkEnd(peer, theirs, new boolean[1]));
        peer.mLinks.put(theirs, new LinkEnd(this, mine, new boolean[] {true}));
        mMesh.deliver(this, () -> mControl.onDialed(dial, mine));
    }

    @Override
    public void send(long link, Frame frame) {
        LinkEnd linkEnd = mLinks.get(link);
        if (linkEnd == null || !mMesh.reachable(this, linkEnd.peer())) {
            return;
        }
        boolean hello = !linkEnd.helloSent()[0];
        linkEnd.helloSent()[0] = true;
        mMesh.deliver(
                linkEnd.peer(),
                3,
                () -> {
                    if (!linkEnd.peer().mLinks.containsKey(linkEnd.peerLink())) {
                        return;
                    }
                    if (hello) {
                        linkEnd.peer().mControl.onHello(linkEnd.peerLink(), frame);
                    } else {
                        linkEnd.peer().mControl.onFrame(linkEnd.peerLink(), frame);
                    }
                });
    }

    @Override
    public void close(long link) {
        LinkEnd linkEnd = mLinks.remove(link);
        if (linkEnd != null && mMesh.reachable(this, linkEnd.peer())) {
            mMesh.deliver(linkEnd.peer(), 4, () -> linkEnd.peer().onPeerClosed(linkEnd.peerLink()));
        }
    }

    private void onPeerClosed(long link) {
        if (mLinks.remove(link) != null) {
            mControl.onClosed(link);
        }
    }

    @Override
    public <T> void submit(
            TaskQueue queue, PlatformTask<T> task, Consumer<PlatformResult<T>> done) {
        long endMillis = mMesh.mClock.monotonicMillis() + 2000;
        mMesh.deliver(this, () -> execute(queue, task, done, endMillis));
    }

    private <T> void execute(
            TaskQueue queue,
            PlatformTask<T> task,
            Consumer<PlatformResult<T>> done,
            long endMillis) {
        PlatformResult<T> result = mMesh.reachesPlatform(this) ? call(queue, task) : unavailable();
        boolean noChangeYet =
                result.isOk()
                        && result.value() instanceof WatchBatch batch
                        && batch.objects().isEmpty();
        if (queue == TaskQueue.WATCH && noChangeYet && mMesh.mClock.monotonicMillis() < endMillis) {
            mMesh.deliver(this, WATCH_POLL_MILLIS, () -> execute(queue, task, done, endMillis));
            return;
        }
        mMesh.deliver(this, () -> done.accept(result));
    }

    private <T> PlatformResult<T> call(TaskQueue queue, PlatformTask<T> task) {
        if (queue == TaskQueue.WATCH) {
            return PlatformResult.of(task, new NoWaitStore(mMesh.mStore));
        }
        return PlatformResult.of(task, mMesh.mStore);
    }

    private static <T> PlatformResult<T> unavailable() {
        return new PlatformResult<>(
                null,
                Optional.of(
                        new PlatformException(
                                PlatformException.Kind.UNAVAILABLE,
                                "call",
                                "platform",
                                "unreachable",
                                null)));
    }
}
