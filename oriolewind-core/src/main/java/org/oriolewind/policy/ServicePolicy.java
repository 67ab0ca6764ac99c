package org.oriolewind.policy;

/**
 * The operators' settings for the backend servers of a service. Immutable.
 *
 * @param name the service's name
 * @param maxConnections connections that a backend server accepts from all callers together
 * @param coldStartMillis time after its start during which a backend server counts as cold
 * @param coldRequestsPerSecond requests per second that a cold backend server can handle, 0 if not
 *     set
 * @param healthPath path of the health check endpoint of its backend servers, empty if not set
 */
public record ServicePolicy(
        String name,
        int maxConnections,
        long coldStartMillis,
        double coldRequestsPerSecond,
        String healthPath) {}
