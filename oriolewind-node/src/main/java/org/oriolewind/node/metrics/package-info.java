/** What a node measures of itself, and how it is shown. */
package org.oriolewind.node.metrics;
