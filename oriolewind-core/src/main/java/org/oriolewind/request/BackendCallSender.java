package org.oriolewind.request;

import com.google.protobuf.ByteString;
import java.util.List;
import org.oriolewind.wire.CallRequest;
import org.oriolewind.wire.Header;

/**
 * Forwards calls to the backend server beside this node. Implementations never block and are
 * thread-safe.
 */
public interface BackendCallSender {
    /** Receives the outcome of a forwarded call. Exactly one of the methods is called, once. */
    interface Listener {
        /**
         * Called when the complete response has arrived.
         *
         * @param status the HTTP status
         * @param headers the response headers to forward
         * @param body the complete response body
         */
        void onAnswer(int status, List<Header> headers, ByteString body);

        /**
         * Called when the backend server refused the call and reported that it did not run it.
         *
         * @param draining whether it refused because it is about to leave
         */
        void onRefused(boolean draining);

        /**
         * Called when no complete response arrived.
         *
         * @param sent whether any part of the call may have reached the backend server
         * @param timedOut whether the timeout passed
         * @param reason how the exchange with the backend server ended, for log entries
         */
        void onFailure(boolean sent, boolean timedOut, String reason);
    }

    /**
     * Forwards a call to the backend server.
     *
     * @param timeoutMillis time after which the call fails as timed out
     * @param listener receives the outcome
     * @return cancels the call
     */
    Cancellable send(CallRequest call, long timeoutMillis, Listener listener);
}
