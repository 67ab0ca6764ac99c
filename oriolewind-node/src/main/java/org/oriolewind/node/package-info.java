/**
 * The daemon oriolewindd: its settings, the start and shutdown of a node, and its HTTP endpoints.
 */
package org.oriolewind.node;
