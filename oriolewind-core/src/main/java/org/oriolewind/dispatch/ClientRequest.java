package org.oriolewind.dispatch;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.OptionalLong;
import org.oriolewind.wire.Header;

/**
 * A request as it came from a client or a backend server. Immutable.
 *
 * @param id the request's id
 * @param host the host in lower case, without a port
 * @param method the HTTP method
 * @param path the path without its query
 * @param target path and query as sent
 * @param headers the headers to pass on
 * @param body the whole body
 * @param timeLeftMillis time for which the client waits, if it says
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
