/**
 * The control plane of a node: leases, the control tree, and the propagation of configuration,
 * membership and the evidence about moves between nodes. The classes are confined to one control
 * thread unless they say otherwise, and do no I/O themselves.
 */
package org.oriolewind.control;
