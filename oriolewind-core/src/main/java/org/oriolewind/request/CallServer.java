package org.oriolewind.request;

import java.util.function.Consumer;
import org.oriolewind.wire.CallAnswer;
import org.oriolewind.wire.CallRequest;

/** Serves calls for the backend server beside this node. */
@FunctionalInterface
public interface CallServer {
    /**
     * Serves a call.
     *
     * @param request the call
     * @param done called once with the answer, on any thread
     * @return gives the call up
     */
    Cancellable serve(CallRequest request, Consumer<CallAnswer> done);
}
