package org.oriolewind.admission;

/**
 * One answer of the backend server, as input of a limit rule. Immutable.
 *
 * @param limit the limit when the answer arrived, with its fraction
 * @param inFlight calls in flight when the call was forwarded, including the call itself
 * @param latencyMicros service time in the backend server, in microseconds
 * @param minLatencyMicros the shortest recent service time on the same route, in microseconds
 * @param overloaded whether the backend server shed the call, failed to answer or timed out
 * @param rampingUp whether the limit is still growing fast after a cold start
 */
public record LimitSample(
        double limit,
        int inFlight,
        long latencyMicros,
        long minLatencyMicros,
        boolean overloaded,
        boolean rampingUp) {}
