package org.oriolewind.request;

import com.google.protobuf.ByteString;
import java.util.List;
import org.oriolewind.wire.CallRequest;
import org.oriolewind.wire.Header;

/** Hands calls to the backend server. Implementations never block and are safe for threads. */
public interface BackendCallSender {
    /** Takes the end of a call at the backend server. Exactly one method is called, once. */
    interface Listener {
        /**
         * The answer is whole.
         *
         * @param status the HTTP status
         * @param headers the headers to pass on
         * @param body the body
         */
        void onAnswer(int status, List<Header> headers, ByteString body);

        /**
         * The backend server refused the call and says that it did not run it.
         *
         * @param draining whether it is about to leave
         */
        void onRefused(boolean draining);

        /**
         * There is no whole answer.
         *
         * @param sent whether any part of the call may have reached the backend server
         * @param timedOut whether the time ran out
         */
        void onFailure(boolean sent, boolean timedOut);
    }

    /**
     * Hands a call over.
     *
     * @param call the call
     * @param timeoutMillis time until the call must have ended
     * @param listener takes the end
     * @return gives the call up
     */
    Cancellable send(CallRequest call, long timeoutMillis, Listener listener);
}
