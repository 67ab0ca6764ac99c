/**
 * Load balancing: the status and load of the other nodes, the selection of the node that takes a
 * call, and the retry budget.
 */
package org.oriolewind.loadbalancing;
