/** Connections between nodes. */
package org.oriolewind.node.peer;
