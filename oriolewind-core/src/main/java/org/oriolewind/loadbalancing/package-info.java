/**
 * Load balancing in the platform adapter: the status and load of the other nodes, the selection of
 * the node that takes a call, and the retry budget of each service. The node daemon has {@link
 * org.oriolewind.routing} for this.
 */
package org.oriolewind.loadbalancing;
