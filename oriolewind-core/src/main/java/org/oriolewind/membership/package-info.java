/**
 * Membership: the nodes of the mesh, with the service, data centre, addresses and state of each.
 */
package org.oriolewind.membership;
