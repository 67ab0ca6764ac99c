package org.oriolewind.control;

import org.oriolewind.wire.Frame;

/** Opens and uses connections to other nodes. Called on the control thread; never blocks. */
public interface LinkPort {
    /**
     * Connects to a node. The control node is told of the end by {@code onDialed} or {@code
     * onDialFailed}.
     *
     * @param peerAddress the node's peer address, as {@code host:port}
     * @param dial a number that the caller chose, returned with the end
     */
    void dial(String peerAddress, long dial);

    /**
     * Sends a frame. A link that is closed drops it.
     *
     * @param link the link
     * @param frame the frame
     */
    void send(long link, Frame frame);

    /**
     * Closes a link after what was sent before. The control node is not told of it.
     *
     * @param link the link
     */
    void close(long link);
}
