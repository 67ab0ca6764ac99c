package org.oriolewind.node.http;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes the responses of a connection that carries one request at a time, and tells whether bytes
 * are left that belong to no response. Confined to the event loop.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    private boolean mHeadRequest;

    ResponseDecoder(int maxLineBytes, int maxHeaderBytes, int maxChunkBytes) {
        super(maxLineBytes, maxHeaderBytes, maxChunkBytes);
    }

    /** A request is sent, whose method decides whether its response has a body. */
    void onRequest(HttpMethod method) {
        mHeadRequest = method.equals(HttpMethod.HEAD);
    }

    /** Returns whether received bytes follow the responses decoded so far. */
    boolean hasUndecodedBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return mHeadRequest || super.isContentAlwaysEmpty(message);
    }
}
