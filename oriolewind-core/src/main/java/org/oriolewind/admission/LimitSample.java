package org.oriolewind.admission;

/**
 * One answer of the backend server as a limit rule sees it. Immutable.
 *
 * @param limit the limit when the answer came
 * @param inFlight calls in flight when the call was handed over, itself included
 * @param latencyMicros time in the backend server, in microseconds
 * @param floorMicros the shortest recent time on the same route, in microseconds
 * @param overloaded whether the backend server shed the call, failed to answer or timed out
 * @param opening whether the limit is still growing after a cold start
 */
public record LimitSample(
        double limit,
        int inFlight,
        long latencyMicros,
        long floorMicros,
        boolean overloaded,
        boolean opening) {}
