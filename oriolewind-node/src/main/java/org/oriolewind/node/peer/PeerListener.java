package org.oriolewind.node.peer;

import org.oriolewind.wire.Frame;

/** Receives the events of connections between nodes. Called on the event loop of the connection. */
public interface PeerListener {
    /**
     * The first frame of a connection that another node opened has arrived.
     *
     * @param frame a frame with a hello that names the other node and the purpose of the connection
     */
    void onHello(PeerConnection connection, Frame frame);

    /** A later frame, or any frame of a connection that this node opened, has arrived. */
    void onFrame(PeerConnection connection, Frame frame);

    /**
     * A connection was closed by either side or failed. Not called for an accepted connection
     * without a valid hello.
     */
    void onClosed(PeerConnection connection);
}
