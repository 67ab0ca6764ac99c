package org.oriolewind.policy;

/**
 * One part of a route's traffic. Immutable.
 *
 * @param service the service's name
 * @param weight its weight among the parts, above 0
 */
public record WeightedService(String service, int weight) {}
