package org.oriolewind.node.peer;

import org.oriolewind.wire.Frame;

/** Takes what happens on connections between nodes. Called on the connection's thread. */
public interface PeerListener {
    /**
     * Takes the first frame of a connection that another node opened.
     *
     * @param connection the connection
     * @param frame a frame with a hello
     */
    void onHello(PeerConnection connection, Frame frame);

    /**
     * Takes a later frame, or any frame of a connection opened by this node.
     *
     * @param connection the connection
     * @param frame the frame
     */
    void onFrame(PeerConnection connection, Frame frame);

    /**
     * Takes the end of a connection.
     *
     * @param connection the connection
     */
    void onClosed(PeerConnection connection);
}
