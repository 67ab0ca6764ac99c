/** Measurements. */
package org.oriolewind.bench;
