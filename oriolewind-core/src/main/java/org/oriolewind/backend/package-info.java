/** The backend server beside this node: what it reports, and the gate in front of it. */
package org.oriolewind.backend;
