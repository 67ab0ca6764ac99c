package org.oriolewind.backend;

/**
 * Result of a health check of a backend server. Immutable.
 *
 * @param instanceId the id of the backend server that answered
 * @param serving whether it is healthy and not leaving
 */
public record HealthCheckResult(String instanceId, boolean serving) {}
