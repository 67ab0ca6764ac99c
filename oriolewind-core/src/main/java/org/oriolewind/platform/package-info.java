/** The port to the users' object API. */
package org.oriolewind.platform;
