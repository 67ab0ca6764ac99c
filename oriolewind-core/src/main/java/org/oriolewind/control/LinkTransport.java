package org.oriolewind.control;

import org.oriolewind.wire.Frame;

/**
 * Opens, uses and closes the control links to other nodes. Called on the control thread;
 * implementations never block.
 */
public interface LinkTransport {
    /**
     * Starts to connect to a node. The outcome is reported through {@link
     * ControlPlaneNode#onDialed} or {@link ControlPlaneNode#onDialFailed}.
     *
     * @param peerAddress the node's peer address, as {@code host:port}
     * @param dial a number that the caller chose, reported back with the outcome
     */
    void dial(String peerAddress, long dial);

    /** Sends a frame. On a closed link the frame is dropped without an error. */
    void send(long link, Frame frame);

    /**
     * Closes a link once the frames sent before have been written. {@link
     * ControlPlaneNode#onClosed} is not called for it.
     */
    void close(long link);
}
