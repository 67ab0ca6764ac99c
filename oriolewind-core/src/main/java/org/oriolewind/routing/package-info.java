/** Selects the version and the node that take a call, and decides on retries. */
package org.oriolewind.routing;
