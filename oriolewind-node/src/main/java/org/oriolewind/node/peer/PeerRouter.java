package org.oriolewind.node.peer;

import org.oriolewind.wire.Frame;
import org.oriolewind.wire.LinkPurpose;

/**
 * Routes the events of a connection by its purpose: connections that carry calls to one listener,
 * those of the control plane to another. Thread-safe.
 */
public final class PeerRouter implements PeerListener {
    private final PeerListener mControlListener;
    private final PeerListener mCallListener;

    /**
     * Creates a router. Listeners are called on the event loop of the connection.
     *
     * @param control receives the events of all other connections
     * @param calls receives the events of connections that carry calls
     */
    public PeerRouter(PeerListener control, PeerListener calls) {
        mControlListener = control;
        mCallListener = calls;
    }

    private PeerListener listener(PeerConnection connection) {
        return connection.purpose() == LinkPurpose.LINK_PURPOSE_CALLS
                ? mCallListener
                : mControlListener;
    }

    @Override
    public void onHello(PeerConnection connection, Frame frame) {
        listener(connection).onHello(connection, frame);
    }

    @Override
    public void onFrame(PeerConnection connection, Frame frame) {
        listener(connection).onFrame(connection, frame);
    }

    @Override
    public void onClosed(PeerConnection connection) {
        listener(connection).onClosed(connection);
    }
}
