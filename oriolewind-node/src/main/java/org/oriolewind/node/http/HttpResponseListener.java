package org.oriolewind.node.http;

import io.netty.handler.codec.http.FullHttpResponse;

/**
 * Receives the end of an exchange on the event loop of the client. Either {@link #onResponse} or
 * {@link #onFailure} is called, exactly once.
 */
public interface HttpResponseListener {
    /**
     * Returns whether a response belongs to the request. A response that does not is dropped, and
     * its connection is not reused.
     *
     * @return true if it answers the request
     */
    boolean matches(FullHttpResponse response);

    /**
     * The complete response has arrived.
     *
     * @param response the response, which the client releases afterwards
     */
    void onResponse(FullHttpResponse response);

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
