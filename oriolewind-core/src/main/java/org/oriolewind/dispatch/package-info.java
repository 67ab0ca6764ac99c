/**
 * Dispatches client requests: selects the route, the version and the node, retries, and produces
 * the reply.
 */
package org.oriolewind.dispatch;
