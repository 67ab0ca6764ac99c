/** Which node takes a call: what is known of the others, and the choice among them. */
package org.oriolewind.loadbalancing;
