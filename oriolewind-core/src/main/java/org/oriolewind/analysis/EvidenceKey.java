package org.oriolewind.analysis;

/**
 * What evidence is counted for. Immutable.
 *
 * @param service the service's name
 * @param version the backend server version
 * @param route the route's name
 */
public record EvidenceKey(String service, String version, String route) {}
