/**
 * Benchmarks with a main method each, which {@code bin/bench} starts by class name, and the meshes
 * and simulations they run on.
 */
package org.oriolewind.bench;
