/**
 * Stand-ins for the platform, backend servers and callers, for tests, benchmarks and the
 * quickstart.
 */
package org.oriolewind.standins;
