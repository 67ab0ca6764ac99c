/** Events that processes record, for a common timeline. */
package org.oriolewind.event;
