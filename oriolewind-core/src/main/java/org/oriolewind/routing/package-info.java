/**
 * Selects the version and the node that take a call in the node daemon, and decides on retries. The
 * platform adapter has {@link org.oriolewind.loadbalancing} for this.
 */
package org.oriolewind.routing;
