/** The backend server beside this node: its heartbeats and the admission gate in front of it. */
package org.oriolewind.backend;
