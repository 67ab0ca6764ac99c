package org.oriolewind.node.http;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;

/** Finds responses that the decoder accepts although they are no HTTP. Stateless. */
final class ResponseSyntax {
    private static final int MIN_STATUS = 100;
    private static final int MAX_STATUS = 999;

    private ResponseSyntax() {}

    static boolean isValid(FullHttpResponse response) {
        return !response.decoderResult().isFailure() && hasValidStatus(response);
    }

    /** Status 101 is never valid, since requests don't ask for another protocol. */
    private static boolean hasValidStatus(FullHttpResponse response) {
        int status = response.status().code();
        return status >= MIN_STATUS
                && status <= MAX_STATUS
                && status != HttpResponseStatus.SWITCHING_PROTOCOLS.code();
    }
}
