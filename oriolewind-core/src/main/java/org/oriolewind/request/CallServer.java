package org.oriolewind.request;

import java.util.function.Consumer;
import org.oriolewind.wire.CallAnswer;
import org.oriolewind.wire.CallRequest;

/** Serves calls for the backend server beside this node. Implementations never block. */
@FunctionalInterface
public interface CallServer {
    /**
     * Admits a call and forwards it to the backend server, or refuses it.
     *
     * @param request the call
     * @param done called once with the answer, on any thread, possibly before this method returns
     * @return cancels the call
     */
    Cancellable serve(CallRequest request, Consumer<CallAnswer> done);
}
