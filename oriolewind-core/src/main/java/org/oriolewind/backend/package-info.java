/**
 * The backend server beside this node in the platform adapter: its heartbeats, its slow start and
 * the admission gate in front of it.
 */
package org.oriolewind.backend;
