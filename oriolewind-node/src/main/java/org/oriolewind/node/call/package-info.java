/** The path of a call through a node. */
package org.oriolewind.node.call;
