/** Metrics of the process and their text exposition format. */
package org.oriolewind.node.metrics;
