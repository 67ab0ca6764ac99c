/** Events for the time line over all processes. */
package org.oriolewind.event;
