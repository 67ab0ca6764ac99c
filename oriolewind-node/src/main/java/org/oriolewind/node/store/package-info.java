/** Client of the platform's object API over HTTP, with its rate limit and threads. */
package org.oriolewind.node.store;
