package org.oriolewind.request;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import org.oriolewind.wire.Header;

/**
 * A call as it came from a caller. Immutable.
 *
 * @param id the call's id
 * @param method the HTTP method
 * @param path the path
 * @param pathAndQuery the path with its query
 * @param headers the headers to pass on
 * @param body the whole body
 * @param deadlineMillis monotonic time by which the answer must be there
 * @param hops number of services that the call passed before
 * @param idempotencyKey the caller's key
 */
public record CallerCall(
        String id,
        String method,
        String path,
        String pathAndQuery,
        List<Header> headers,
        ByteString body,
        long deadlineMillis,
        int hops,
        Optional<String> idempotencyKey) {}
