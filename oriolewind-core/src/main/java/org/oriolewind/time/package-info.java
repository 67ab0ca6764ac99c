/** Clocks and hybrid logical time. */
package org.oriolewind.time;
