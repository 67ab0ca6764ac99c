/** An in-memory implementation of the platform's object API over HTTP, with fault injection. */
package org.oriolewind.standins.platform;
