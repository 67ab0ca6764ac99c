package org.oriolewind.node.http;

import io.netty.handler.codec.http.FullHttpResponse;

/** Takes the end of an exchange. Either {@link #onReply} or {@link #onFailure} is called, once. */
public interface HttpResponseListener {
    /**
     * Returns whether a response is the one awaited. Another one is dropped, and its connection is
     * not used again.
     *
     * @param response the whole response
     * @return true if it answers the request
     */
    boolean answers(FullHttpResponse response);

    /**
     * The response is whole.
     *
     * @param response the response, released afterwards
     */
    void onReply(FullHttpResponse response);

    /**
     * There is no whole response.
     *
     * @param sent whether any part of the request may have been read
     * @param timedOut whether the time ran out
     * @param reason why, for a person
     */
    void onFailure(boolean sent, boolean timedOut, String reason);
}
