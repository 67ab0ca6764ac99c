/** HTTP/1.1 client with pooled connections to one server, which runs on a Netty event loop. */
package org.oriolewind.node.http;
