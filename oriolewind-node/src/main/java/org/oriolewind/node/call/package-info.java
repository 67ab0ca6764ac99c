/**
 * Request path of a node: callers, connections that carry calls between nodes, and the backend
 * server.
 */
package org.oriolewind.node.call;
