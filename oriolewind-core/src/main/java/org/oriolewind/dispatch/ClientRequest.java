package org.oriolewind.dispatch;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.OptionalLong;
import org.oriolewind.wire.Header;

/**
 * A request as received from a client or from a backend server. Immutable.
 *
 * @param id the request ID, which appears in log lines and is sent along with the call
 * @param host the host in lower case, without a port
 * @param method the HTTP method
 * @param path the path without its query
 * @param target the path and query as received
 * @param headers the headers to forward
 * @param body the complete body
 * @param timeLeftMillis how long the client waits for the reply; empty if the client did not say
 */
public record ClientRequest(
        String id,
        String host,
        String method,
        String path,
        String target,
        List<Header> headers,
        ByteString body,
        OptionalLong timeLeftMillis) {}
