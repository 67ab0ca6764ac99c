package org.oriolewind.backend;

/**
 * Result of a health check that a backend server answered. Immutable.
 *
 * @param instanceId ID of the instance that answered
 * @param serving whether it is healthy and not shutting down
 */
public record HealthCheckResult(String instanceId, boolean serving) {}
