/** A small HTTP client on an event loop. */
package org.oriolewind.node.http;
