/** The way of a client's request through the mesh: route, version, node, repeats and its end. */
package org.oriolewind.dispatch;
