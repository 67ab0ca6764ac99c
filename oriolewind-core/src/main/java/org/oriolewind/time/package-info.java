/** Clocks, timers and hybrid logical timestamps; tests replace them by fakes. */
package org.oriolewind.time;
