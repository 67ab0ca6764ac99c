package org.oriolewind.standins.caller;

/**
 * A kind of call that a caller makes. Immutable.
 *
 * @param method the HTTP method
 * @param path the path
 * @param perSecond calls a second
 * @param idempotent whether the caller may repeat the call
 */
public record CallKind(String method, String path, double perSecond, boolean idempotent) {}
