/**
 * How the operators' documents reach the nodes: who reads the store, and who hears from other
 * nodes.
 */
package org.oriolewind.distribution;
