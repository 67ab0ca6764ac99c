/** Reads the events and log lines of many processes and merges them in time order. */
package org.oriolewind.cli.timeline;
