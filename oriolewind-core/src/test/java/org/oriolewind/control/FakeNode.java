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

/** One control side on the in-memory network. */
final class FakeNode implements LinkPort, PlatformExecutor {
    private static final long DIAL_TIMEOUT_MILLIS = 1000;
    private static final long WATCH_STEP_MILLIS = 20;

    final String mName;
    final String mDataCentre;
    final ControlPlaneNode mControl;
    final InstalledConfig mConfig = new InstalledConfig();
    final EvidenceCollector mEvidence = new EvidenceCollector();
    boolean mAlive = true;
    boolean mPaused;
    private final FakeMesh mMesh;
    private final Map<Long, End> mLinks = new HashMap<>();
    private long mHighestVersion;

    /** One end of a link: the node and the number at the other end. */
    private record End(FakeNode peer, long peerLink, boolean[] helloSent) {}

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

    int knownLive() {
        return mControl.directory().up("holders", "v1").size();
    }

    void tick() {
        if (!mPaused) {
            mControl.tick();
        }
        if (version() < mHighestVersion) {
            throw new AssertionError(mName + " went back to version " + version());
        }
        mHighestVersion = version();
    }

    void die() {
        mAlive = false;
        for (End end : mLinks.values()) {
            end.peer().peerClosed(end.peerLink());
        }
    }

    private void peerClosed(long link) {
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
        mLinks.put(mine, new End(peer, theirs, new boolean[1]));
        peer.mLinks.put(theirs, new End(this, mine, new boolean[] {true}));
        mMesh.deliver(this, () -> mControl.onDialed(dial, mine));
    }

    @Override
    public void send(long link, Frame frame) {
        End end = mLinks.get(link);
        if (end == null || !mMesh.reachable(this, end.peer())) {
            return;
        }
        boolean hello = !end.helloSent()[0];
        end.helloSent()[0] = true;
        mMesh.deliver(
                end.peer(),
                3,
                () -> {
                    if (!end.peer().mLinks.containsKey(end.peerLink())) {
                        return;
                    }
                    if (hello) {
                        end.peer().mControl.onHello(end.peerLink(), frame);
                    } else {
                        end.peer().mControl.onFrame(end.peerLink(), frame);
                    }
                });
    }

    @Override
    public void close(long link) {
        End end = mLinks.remove(link);
        if (end != null && mMesh.reachable(this, end.peer())) {
            mMesh.deliver(end.peer(), 4, () -> end.peer().closedByPeer(end.peerLink()));
        }
    }

    private void closedByPeer(long link) {
        if (mLinks.remove(link) != null) {
            mControl.onClosed(link);
        }
    }

    @Override
    public <T> void submit(TaskQueue lane, PlatformTask<T> task, Consumer<PlatformResult<T>> done) {
        long endMillis = mMesh.mClock.monotonicMillis() + 2000;
        mMesh.deliver(this, () -> execute(lane, task, done, endMillis));
    }

    private <T> void execute(
            TaskQueue lane,
            PlatformTask<T> task,
            Consumer<PlatformResult<T>> done,
            long endMillis) {
        PlatformResult<T> reply = mMesh.reachesPlatform(this) ? call(lane, task) : unavailable();
        boolean nothingYet =
                reply.isOk()
                        && reply.value() instanceof WatchBatch batch
                        && batch.objects().isEmpty();
        if (lane == TaskQueue.WATCH && nothingYet && mMesh.mClock.monotonicMillis() < endMillis) {
            mMesh.deliver(this, WATCH_STEP_MILLIS, () -> execute(lane, task, done, endMillis));
            return;
        }
        mMesh.deliver(this, () -> done.accept(reply));
    }

    private <T> PlatformResult<T> call(TaskQueue lane, PlatformTask<T> task) {
        if (lane == TaskQueue.WATCH) {
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
                                "cut off",
                                null)));
    }
}
