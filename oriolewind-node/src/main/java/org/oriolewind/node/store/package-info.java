/** The platform's object API over HTTP. */
package org.oriolewind.node.store;
