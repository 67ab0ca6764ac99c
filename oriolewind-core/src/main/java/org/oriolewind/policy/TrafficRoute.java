package org.oriolewind.policy;

import java.util.List;

/**
 * Where requests of a host and path prefix go. Immutable.
 *
 * @param name the route's name
 * @param host the host in lower case, without a port
 * @param pathPrefix begins and ends with a slash
 * @param kind what may be repeated
 * @param timeoutMillis longest time for which a request is kept waiting
 * @param targetLatencyMillis time within which an answer is worth most
 * @param priority rank, 0 is the highest
 * @param maxAttempts backend servers that one request may be handed to
 * @param parts the services that take the traffic, at least one
 */
public record TrafficRoute(
        String name,
        String host,
        String pathPrefix,
        RetrySafety kind,
        long timeoutMillis,
        long targetLatencyMillis,
        int priority,
        int maxAttempts,
        List<WeightedService> parts) {
    /** Copies the parts. */
    public TrafficRoute {
        parts = List.copyOf(parts);
    }
}
