package org.oriolewind.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Writes whole answers. Stateless. */
public final class HttpResponses {
    private HttpResponses() {}

    /**
     * Writes an answer without a body.
     *
     * @param response the response
     * @param callback completed when written
     * @param status the status
     */
    public static void writeEmpty(Response response, Callback callback, int status) {
        writeBytes(response, callback, status, new byte[0]);
    }

    /**
     * Writes JSON with status 200.
     *
     * @param response the response
     * @param callback completed when written
     * @param body the body
     */
    public static void writeJson(Response response, Callback callback, JsonNode body) {
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        writeBytes(response, callback, 200, body.toString().getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Writes bytes.
     *
     * @param response the response
     * @param callback completed when written
     * @param status the status
     * @param body the body
     */
    public static void writeBytes(Response response, Callback callback, int status, byte[] body) {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
        response.write(true, ByteBuffer.wrap(body), callback);
    }
}
