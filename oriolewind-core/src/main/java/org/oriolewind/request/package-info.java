/**
 * The request pipeline: dispatches a caller's call to a node, through its admission gate, to a
 * backend server.
 */
package org.oriolewind.request;
