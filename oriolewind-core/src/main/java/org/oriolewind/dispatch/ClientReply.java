package org.oriolewind.dispatch;

import com.google.protobuf.ByteString;
import java.util.List;
import org.oriolewind.wire.Header;
import org.oriolewind.wire.NotRunReason;

/** The end of a client's request. */
public sealed interface ClientReply {
    /**
     * A backend server answered.
     *
     * @param status the HTTP status
     * @param headers the headers to pass on
     * @param body the whole body
     */
    record Answered(int status, List<Header> headers, ByteString body) implements ClientReply {}

    /** No route covers the request. */
    record NoRoute() implements ClientReply {}

    /**
     * The request did not run and never will.
     *
     * @param reason why
     * @param retryAfterMillis time after which there may be room
     */
    record NotRun(NotRunReason reason, long retryAfterMillis) implements ClientReply {}

    /**
     * The request may have run.
     *
     * @param timedOut whether its time ran out
     */
    record Unknown(boolean timedOut) implements ClientReply {}
}
