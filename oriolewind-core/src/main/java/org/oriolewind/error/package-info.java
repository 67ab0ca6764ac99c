/** Base of the checked exceptions, which name the failed operation and the peer involved. */
package org.oriolewind.error;
