package org.oriolewind.request;

import java.util.Optional;
import org.oriolewind.wire.CallAnswer;

/**
 * The end of a caller's call. Immutable.
 *
 * @param kind what became of the call
 * @param answer the answer, of the backend server or of the system
 * @param version the backend server version of the latest sending
 * @param detail why there is no route, for a person
 */
public record CallResult(Kind kind, CallAnswer answer, Optional<String> version, String detail) {
    /** What became of a call. */
    public enum Kind {
        /** No route covers the path. */
        NO_ROUTE,
        /** The call was sent, or refused on the way. */
        ENDED
    }

    /**
     * Makes the result of a call that no route covers.
     *
     * @param path the call's path
     * @return the result
     */
    public static CallResult noRoute(String path) {
        return new CallResult(
                Kind.NO_ROUTE,
                CallAnswer.getDefaultInstance(),
                Optional.empty(),
                "no route covers " + path);
    }

    /**
     * Makes the result of a call that a route covers.
     *
     * @param answer the answer, of the backend server or of the system
     * @param version the backend server version of the latest sending
     * @return the result
     */
    public static CallResult ended(CallAnswer answer, Optional<String> version) {
        return new CallResult(Kind.ENDED, answer, version, "");
    }
}
