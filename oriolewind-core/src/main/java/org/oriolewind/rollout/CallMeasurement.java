package org.oriolewind.rollout;

/**
 * Outcome and duration of a call at a backend server. Immutable.
 *
 * @param failed whether the call failed
 * @param cold whether the backend server was in its cold start; the duration is then left out
 * @param micros time in the backend server, in microseconds
 */
public record CallMeasurement(boolean failed, boolean cold, long micros) {}
