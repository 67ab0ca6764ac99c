package org.oriolewind.node.peer;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import org.oriolewind.control.ControlPlaneNode;
import org.oriolewind.control.LinkPort;
import org.oriolewind.wire.Frame;

/**
 * Connects the control side with the connections to other nodes. Everything that happens on a
 * connection is handed to the control thread in its order. Safe for use by several threads.
 */
public final class ControlLinks implements LinkPort, PeerListener {
    private final PeerTransport mTransport;
    private final Executor mControl;
    private final Map<Long, PeerConnection> mOpen = new ConcurrentHashMap<>();
    private volatile ControlPlaneNode mNode;

    /**
     * Creates the links.
     *
     * @param transport opens connections
     * @param control runs work on the control thread
     */
    public ControlLinks(PeerTransport transport, Executor control) {
        mTransport = transport;
        mControl = control;
    }

    /**
     * Sets the control side, before anything happens.
     *
     * @param node the control side
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

    /** Closes all connections. */
    public void closeAll() {
        mOpen.values().forEach(PeerConnection::abort);
        mOpen.clear();
    }
}
