package org.oriolewind.policy;

/**
 * What operators say of a service's backend servers. Immutable.
 *
 * @param name the service's name
 * @param maxConnections connections that a backend server takes from all callers
 * @param coldStartMillis time for which a backend server is cold after its start
 * @param coldPerSecond requests a second that a cold backend server bears, 0 if not said
 * @param healthPath path of the health check of its backend servers, empty if not said
 */
public record ServicePolicy(
        String name,
        int maxConnections,
        long coldStartMillis,
        double coldPerSecond,
        String healthPath) {}
