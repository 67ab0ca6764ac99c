/** Writers of log entries and events as JSON lines. */
package org.oriolewind.node.log;
