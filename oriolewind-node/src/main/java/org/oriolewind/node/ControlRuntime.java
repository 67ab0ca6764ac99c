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
 * The control side of a node with its thread, its connections and its way to the platform. Safe for
 * use by several threads.
 */
public final class ControlRuntime implements ControlPlane, AutoCloseable {
    private final ControlThread mThread;
    private final ThreadedPlatformExecutor mPlatform;
    private final ControlLinks mLinks;
    private final ControlPlaneNode mNode;
    private final Runnable mAfterTick;

    /**
     * Puts a control side together. Nothing runs before {@link #start()}.
     *
     * @param services what the parts of the node share
     * @param settings the settings
     * @param store the platform
     * @param evidence counts of the request path
     * @param afterTick called on the control thread after each tick
     */
    public ControlRuntime(
            NodeContext services,
            ControlSettings settings,
            ObjectStore store,
            EvidenceCollector evidence,
            Runnable afterTick) {
        mAfterTick = afterTick;
        mThread = new ControlThread(services.clock(), this::tick, "control");
        mPlatform = new ThreadedPlatformExecutor(store, mThread::execute);
        mLinks = new ControlLinks(services.transport(), mThread::execute);
        mNode =
                new ControlPlaneNode(
                        services.self(),
                        settings,
                        services.clock(),
                        services.hybrid(),
                        RandomGenerator.getDefault(),
                        mLinks,
                        mPlatform,
                        services.events(),
                        services.config(),
                        evidence);
        mLinks.setNode(mNode);
    }

    private void tick() {
        mNode.tick();
        mAfterTick.run();
    }

    /** Starts the control thread. */
    public void start() {
        mThread.start();
    }

    /**
     * Returns the control side, to be used on the control thread.
     *
     * @return the control side
     */
    public ControlPlaneNode node() {
        return mNode;
    }

    /**
     * Returns the listener for control connections.
     *
     * @return the listener
     */
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
        return mNode.configReady();
    }

    @Override
    public void onKeyRequest(CallRequest request, Consumer<CallAnswer> done) {
        boolean taken = mThread.offer(() -> mNode.onKeyRequest(request, done));
        if (!taken) {
            done.accept(CallAnswers.notRun(NotRunReason.NOT_RUN_REASON_KEY_UNSETTLED));
        }
    }

    @Override
    public String rolloutLeaderAddress() {
        return mNode.rolloutLeaderAddress();
    }

    /** Stops all work but leaves the connections open, as a process does that hangs. */
    public void freeze() {
        mThread.close();
        mPlatform.close();
    }

    @Override
    public void close() {
        freeze();
        mLinks.closeAll();
    }
}
