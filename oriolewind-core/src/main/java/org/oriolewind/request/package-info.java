/**
 * The request path of the node daemon: dispatches a caller's call to a node, through its admission
 * gate, to a backend server, by the configuration that release notes define.
 */
package org.oriolewind.request;
