package org.oriolewind.request;

import java.util.Optional;
import org.oriolewind.wire.CallAnswer;

/**
 * The result of a caller's call. Immutable.
 *
 * @param kind whether a route matched
 * @param answer the answer, of a backend server or of a node
 * @param version the backend server version of the last attempt, empty if the call was never sent
 * @param detail why no route matched, as a message for people; empty otherwise
 */
public record CallResult(Kind kind, CallAnswer answer, Optional<String> version, String detail) {
    /** Whether a route matched the call's path. */
    public enum Kind {
        /** No route matches the path. */
        NO_ROUTE,
        /** A route matches; the answer says whether the call was run. */
        ENDED
    }

    /**
     * Creates the result of a call whose path matches no route.
     *
     * @param path the call's path, without its query
     */
    public static CallResult noRoute(String path) {
        return new CallResult(
                Kind.NO_ROUTE,
                CallAnswer.getDefaultInstance(),
                Optional.empty(),
                "no route covers " + path);
    }

    /**
     * Creates the result of a call whose path matches a route.
     *
     * @param answer the answer, of a backend server or of a node
     * @param version the backend server version of the last attempt, empty if the call was never
     *     sent
     */
    public static CallResult ended(CallAnswer answer, Optional<String> version) {
        return new CallResult(Kind.ENDED, answer, version, "");
    }
}
