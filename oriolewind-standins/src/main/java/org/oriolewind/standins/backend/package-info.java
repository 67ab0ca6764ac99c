/** Simulated backend servers with configurable capacity and faults. */
package org.oriolewind.standins.backend;
