package org.oriolewind.node;

import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.oriolewind.analysis.EvidenceCollector;
import org.oriolewind.control.ControlPlaneNode;
import org.oriolewind.control.ControlSettings;
import org.oriolewind.membership.MemberDirectory;
import org.oriolewind.node.call.ControlPlane;
import org.oriolewind.node.call.NodeContext;
import org.oriolewind.node.peer.ControlLinks;
import org.oriolewind.node.peer.PeerListener;
import org.oriolewind.node.store.ThreadedPlatformExecutor;
import org.oriolewind.platform.ObjectStore;
import org.oriolewind.request.CallAnswers;
import org.oriolewind.wire.CallAnswer;
import org.oriolewind.wire.CallRequest;
import org.oriolewind.wire.NotRunReason;

/**
 * Runs the control plane of a node: its thread, its connections to other nodes and its access to
 * the platform. Thread-safe, except that {@link #node()} must be used on the control thread.
 */
public final class ControlRuntime implements ControlPlane, AutoCloseable {
    private final ControlThread mThread;
    private final ThreadedPlatformExecutor mPlatformExecutor;
    private final ControlLinks mLinks;
    private final ControlPlaneNode mNode;
    private final Runnable mAfterTick;

    /**
     * Creates a control plane. Nothing runs before {@link #start()}.
     *
     * @param context the objects that all components of the node share
     * @param settings timeouts, intervals and seed addresses
     * @param store the object store of the platform
     * @param evidence call counts of the request path, the evidence about moves
     * @param afterTick called on the control thread after each tick
     */
    public ControlRuntime(
            NodeContext context,
            ControlSettings settings,
            ObjectStore store,
            EvidenceCollector evidence,
            Runnable afterTick) {
        mAfterTick = afterTick;
        mThread = new ControlThread(context.clock(), this::tick, "control");
        mPlatformExecutor = new ThreadedPlatformExecutor(store, mThread::execute);
        mLinks = new ControlLinks(context.transport(), mThread::execute);
        mNode =
                new ControlPlaneNode(
                        context.self(),
                        settings,
                        context.clock(),
                        context.hybrid(),
                        RandomGenerator.getDefault(),
                        mLinks,
                        mPlatformExecutor,
                        context.events(),
                        context.config(),
                        evidence);
        mLinks.setNode(mNode);
    }

    private void tick() {
        mNode.tick();
        mAfterTick.run();
    }

    /** Starts the control thread. Must be called once only. */
    public void start() {
        mThread.start();
    }

    /** Returns the state of the control plane, to be used on the control thread only. */
    public ControlPlaneNode node() {
        return mNode;
    }

    /** Returns the listener that handles control connections of other nodes. */
    public PeerListener listener() {
        return mLinks;
    }

    @Override
    public void onNewerVersion(String peerAddress, long version) {
        mThread.offer(() -> mNode.onNewerVersionReported(peerAddress, version));
    }

    @Override
    public MemberDirectory directory() {
        return mNode.directory();
    }

    @Override
    public boolean isReady() {
        return mNode.isConfigReady();
    }

    @Override
    public void onKeyRequest(CallRequest request, Consumer<CallAnswer> done) {
        boolean accepted = mThread.offer(() -> mNode.onKeyRequest(request, done));
        if (!accepted) {
            done.accept(CallAnswers.notRun(NotRunReason.NOT_RUN_REASON_KEY_UNSETTLED));
        }
    }

    @Override
    public String rolloutLeaderAddress() {
        return mNode.rolloutLeaderAddress();
    }

    /** Stops all work but leaves the connections open, to simulate a process that hangs. */
    public void freeze() {
        mThread.close();
        mPlatformExecutor.close();
    }

    @Override
    public void close() {
        freeze();
        mLinks.closeAll();
    }
}
