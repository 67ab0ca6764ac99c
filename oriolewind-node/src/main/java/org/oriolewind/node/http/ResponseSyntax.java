package org.oriolewind.node.http;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Iterator;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Finds responses that the decoder accepts although they are no HTTP, or consist of the start of
 * one response and the rest of another. Stateless.
 */
public final class ResponseSyntax {
    private static final int MIN_STATUS = 100;
    private static final int MAX_STATUS = 999;

    private static final String PROTOCOL = "HTTP/";

    /** Begins a response; within another one it shows that the other one was cut. */
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/[0-9][.][0-9] +[0-9]{3}");

    private ResponseSyntax() {}

    static boolean isValid(FullHttpResponse response) {
        return !response.decoderResult().isFailure()
                && isValidStatus(response.status().code())
                && !containsStatusLine(response.status().reasonPhrase())
                && !containsStatusLine(response.headers())
                && !containsStatusLine(response.trailingHeaders());
    }

    private static boolean containsStatusLine(HttpHeaders headers) {
        Iterator<Map.Entry<String, String>> entries = headers.iteratorAsString();
        while (entries.hasNext()) {
            if (containsStatusLine(entries.next().getValue())) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns whether a part of a response begins another one.
     *
     * @param text the reason phrase or the value of a header or trailer
     */
    public static boolean containsStatusLine(String text) {
        return text.contains(PROTOCOL) && STATUS_LINE.matcher(text).find();
    }

    /** Status 101 is never valid, since requests don't ask for another protocol. */
    public static boolean isValidStatus(int status) {
        return status >= MIN_STATUS
                && status <= MAX_STATUS
                && status != HttpResponseStatus.SWITCHING_PROTOCOLS.code();
    }
}
