/** Interface to the object API of the users' platform, with an implementation in memory. */
package org.oriolewind.platform;
