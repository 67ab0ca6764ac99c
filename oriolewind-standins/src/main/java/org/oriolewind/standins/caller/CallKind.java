package org.oriolewind.standins.caller;

/**
 * Request line and rate of the calls that a caller sends. Immutable.
 *
 * @param method the HTTP method; methods other than {@code GET} are sent with a body
 * @param path the path, with a leading slash
 * @param perSecond number of calls per second, more than 0
 * @param idempotent whether the call may be retried
 */
public record CallKind(String method, String path, double perSecond, boolean idempotent) {}
