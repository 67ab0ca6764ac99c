/** TCP connections between nodes, which exchange length-prefixed protobuf frames. */
package org.oriolewind.node.peer;
