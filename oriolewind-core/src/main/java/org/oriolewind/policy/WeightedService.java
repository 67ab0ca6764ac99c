package org.oriolewind.policy;

/**
 * A service with its weight among the services of a route. Immutable.
 *
 * @param service the service's name
 * @param weight the service's weight relative to the others of the route, above 0
 */
public record WeightedService(String service, int weight) {}
