package org.oriolewind.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Writes complete HTTP responses. Stateless. */
public final class HttpResponses {
    private HttpResponses() {}

    /**
     * Writes a response without a body.
     *
     * @param callback completed when the response is written, or failed
     * @param status the HTTP status
     */
    public static void writeEmpty(Response response, Callback callback, int status) {
        writeBytes(response, callback, status, new byte[0]);
    }

    /**
     * Writes a JSON body with status 200.
     *
     * @param callback completed when the response is written, or failed
     */
    public static void writeJson(Response response, Callback callback, JsonNode body) {
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        writeBytes(response, callback, 200, body.toString().getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Writes a body and its length. The content type is set before, if there is one.
     *
     * @param callback completed when the response is written, or failed
     * @param status the HTTP status
     * @param body the body, which may be empty
     */
    public static void writeBytes(Response response, Callback callback, int status, byte[] body) {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
        response.write(true, ByteBuffer.wrap(body), callback);
    }
}
