package org.oriolewind.node;

import java.util.random.RandomGenerator;
import org.oriolewind.control.ControlNode;
import org.oriolewind.control.ControlSettings;
import org.oriolewind.node.call.NodeServices;
import org.oriolewind.node.peer.ControlLinks;
import org.oriolewind.node.peer.PeerListener;
import org.oriolewind.node.store.PlatformThreads;
import org.oriolewind.platform.ObjectStore;
import org.oriolewind.rollout.EvidenceCollector;

/**
 * The control side of a node with its thread, its connections and its way to the platform. Safe for
 * use by several threads.
 */
public final class ControlRuntime implements AutoCloseable {
    private final ControlThread mThread;
    private final PlatformThreads mPlatform;
    private final ControlLinks mLinks;
    private final ControlNode mNode;
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
            NodeServices services,
            ControlSettings settings,
            ObjectStore store,
            EvidenceCollector evidence,
            Runnable afterTick) {
        mAfterTick = afterTick;
        mThread = new ControlThread(services.clock(), this::tick, "control");
        mPlatform = new PlatformThreads(store, mThread::execute);
        mLinks = new ControlLinks(services.transport(), mThread::execute);
        mNode =
                new ControlNode(
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
    public ControlNode node() {
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

    /**
     * Takes word of a newer configuration, heard along a call. Dropped when the ring is full.
     *
     * @param peerAddress the other node's peer address
     * @param version its configuration version
     */
    public void onNewerVersion(String peerAddress, long version) {
        mThread.offer(() -> mNode.onNewerVersionHeard(peerAddress, version));
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
