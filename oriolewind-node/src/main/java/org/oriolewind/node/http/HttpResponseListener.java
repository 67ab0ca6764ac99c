package org.oriolewind.node.http;

import io.netty.handler.codec.http.FullHttpResponse;
import java.util.Optional;

/**
 * Receives the end of an exchange on the event loop of the client. Either {@link #onResponse} or
 * {@link #onFailure} is called, exactly once.
 */
public interface HttpResponseListener {
    /** How a response relates to the request in progress on its connection. */
    enum Match {
        /** It names the request. */
        OWN,
        /**
         * It may answer the request, but doesn't name it. It is accepted only if no earlier
         * response can be repeated on the connection, which is not reused.
         */
        UNIDENTIFIED,
        /** It belongs to an earlier request. It is dropped, and its connection is not reused. */
        OTHER
    }

    /**
     * Returns the ID that responses to the request carry, empty if they carry none. A connection is
     * used for an ID only once, since a late copy of its first response would match again.
     */
    default Optional<String> requestId() {
        return Optional.empty();
    }

    /**
     * Returns how a response relates to the request.
     *
     * @param response a complete response
     */
    Match match(FullHttpResponse response);

    /** What showed that a response is complete. */
    enum End {
        /** Its own framing: a length, the last chunk, or a status without a body. */
        MESSAGE,
        /** The end of the connection, as it has no length. */
        CONNECTION
    }

    /**
     * The complete response has arrived.
     *
     * @param response the response, which the client releases afterwards
     * @param end what showed that it is complete
     */
    void onResponse(FullHttpResponse response, End end);

    /**
     * The exchange ended without a complete response.
     *
     * @param sent whether the server may have read any bytes of the request; if false, the request
     *     was certainly not run
     * @param timedOut whether the timeout elapsed
     * @param reason description of the failure for log entries
     */
    void onFailure(boolean sent, boolean timedOut, String reason);
}
