package org.oriolewind.analysis;

/**
 * The service, version and route that a set of counts belongs to. Immutable.
 *
 * @param service the service's name
 * @param version the version of the backend servers
 * @param route the route's name
 */
public record EvidenceKey(String service, String version, String route) {}
