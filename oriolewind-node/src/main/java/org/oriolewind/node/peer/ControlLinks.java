package org.oriolewind.node.peer;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import org.oriolewind.control.ControlPlaneNode;
import org.oriolewind.control.LinkTransport;
import org.oriolewind.wire.Frame;

/**
 * Adapter between the control plane and the connections to other nodes. All events of a connection
 * run on the control thread, in the order in which they occurred. Thread-safe.
 */
public final class ControlLinks implements LinkTransport, PeerListener {
    private final PeerTransport mTransport;
    private final Executor mControl;
    private final Map<Long, PeerConnection> mOpen = new ConcurrentHashMap<>();
    private volatile ControlPlaneNode mNode;

    /**
     * Creates the adapter. {@link #setNode} must be called before any connection is opened or
     * accepted.
     *
     * @param transport opens connections
     * @param control runs tasks on the control thread
     */
    public ControlLinks(PeerTransport transport, Executor control) {
        mTransport = transport;
        mControl = control;
    }

    /**
     * Sets the receiver of all events. Must be called before the first one occurs.
     *
     * @param node the control plane of this node
     */
    public void setNode(ControlPlaneNode node) {
        mNode = node;
    }

    @Override
    public void dial(String peerAddress, long dial) {
        Optional<InetSocketAddress> address = PeerAddress.parse(peerAddress);
        if (address.isEmpty()) {
            mControl.execute(() -> mNode.onDialFailed(dial));
            return;
        }
        mTransport.connect(
                address.get(),
                this,
                connection -> {
                    mOpen.put(connection.id(), connection);
                    mControl.execute(() -> mNode.onDialed(dial, connection.id()));
                },
                () -> mControl.execute(() -> mNode.onDialFailed(dial)));
    }

    @Override
    public void send(long link, Frame frame) {
        PeerConnection connection = mOpen.get(link);
        if (connection != null) {
            connection.send(frame);
        }
    }

    @Override
    public void close(long link) {
        PeerConnection connection = mOpen.remove(link);
        if (connection != null) {
            connection.close();
        }
    }

    @Override
    public void onHello(PeerConnection connection, Frame frame) {
        mOpen.put(connection.id(), connection);
        mControl.execute(() -> mNode.onHello(connection.id(), frame));
    }

    @Override
    public void onFrame(PeerConnection connection, Frame frame) {
        mControl.execute(() -> mNode.onFrame(connection.id(), frame));
    }

    @Override
    public void onClosed(PeerConnection connection) {
        if (mOpen.remove(connection.id()) != null) {
            mControl.execute(() -> mNode.onClosed(connection.id()));
        }
    }

    /** Closes all connections at once, without sending what is still queued. */
    public void closeAll() {
        mOpen.values().forEach(PeerConnection::abort);
        mOpen.clear();
    }
}
