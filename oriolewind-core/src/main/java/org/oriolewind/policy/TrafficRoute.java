package org.oriolewind.policy;

import java.util.List;

/**
 * The destination of requests with a given host and path prefix. Immutable.
 *
 * @param name the route's name, unique within a policy
 * @param host the host in lower case, without a port
 * @param pathPrefix path prefix, which begins and ends with a slash
 * @param retrySafety whether requests with an unknown outcome may be retried
 * @param timeoutMillis time after which a request ends at the latest
 * @param targetLatencyMillis target latency: the time within which a response is most useful
 * @param priority rank under overload, 0 is the highest
 * @param maxAttempts maximum number of times that one request is forwarded to a backend server
 * @param services the services that share the traffic, at least one
 */
public record TrafficRoute(
        String name,
        String host,
        String pathPrefix,
        RetrySafety retrySafety,
        long timeoutMillis,
        long targetLatencyMillis,
        int priority,
        int maxAttempts,
        List<WeightedService> services) {
    /** Copies the list of services. */
    public TrafficRoute {
        services = List.copyOf(services);
    }
}
