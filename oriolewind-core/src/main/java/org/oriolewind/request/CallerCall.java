package org.oriolewind.request;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import org.oriolewind.wire.Header;

/**
 * A call as received from a caller. Immutable.
 *
 * @param id the call ID
 * @param method the HTTP method
 * @param path the path without its query
 * @param pathAndQuery the path with its query
 * @param headers the headers to forward
 * @param body the complete body
 * @param deadlineMillis monotonic time of the caller's deadline
 * @param hops number of services that the call has passed through before
 * @param idempotencyKey the caller's idempotency key, empty if it sent none
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
