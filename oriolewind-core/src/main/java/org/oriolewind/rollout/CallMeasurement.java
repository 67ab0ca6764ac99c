package org.oriolewind.rollout;

/**
 * How a call ended at a backend server. Immutable.
 *
 * @param failed whether it failed
 * @param cold whether the backend server was cold
 * @param micros time in the backend server, in microseconds
 */
public record CallMeasurement(boolean failed, boolean cold, long micros) {}
