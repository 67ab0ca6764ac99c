package org.oriolewind.request;

import java.util.function.Consumer;
import org.oriolewind.wire.CallAnswer;
import org.oriolewind.wire.CallRequest;

/** Sends calls to other nodes. Implementations never block and are thread-safe. */
@FunctionalInterface
public interface PeerCallSender {
    /**
     * Sends a call to another node.
     *
     * @param peerAddress the other node's peer address
     * @param request the call
     * @param done called once with the answer; it is {@code not run} only if the call was certainly
     *     not run
     * @return cancels the call
     */
    Cancellable send(String peerAddress, CallRequest request, Consumer<CallAnswer> done);
}
