package org.oriolewind.dispatch;

import com.google.protobuf.ByteString;
import java.util.List;
import org.oriolewind.wire.Header;
import org.oriolewind.wire.NotRunReason;

/** The final reply to a client's request. Immutable. */
public sealed interface ClientReply {
    /**
     * A backend server answered the request.
     *
     * @param status the HTTP status
     * @param headers the response headers to forward to the client
     * @param body the complete response body
     */
    record Answered(int status, List<Header> headers, ByteString body) implements ClientReply {}

    /** No route in the policy in force matches the request. */
    record NoRoute() implements ClientReply {}

    /**
     * The request was not run, and it will not run later.
     *
     * @param reason why the request was not run
     * @param retryAfterMillis delay before the client should retry
     */
    record NotRun(NotRunReason reason, long retryAfterMillis) implements ClientReply {}

    /**
     * The request may have run, but no complete response arrived.
     *
     * @param timedOut whether the request's deadline passed
     */
    record Unknown(boolean timedOut) implements ClientReply {}
}
