/** A stand-in for callers. */
package org.oriolewind.standins.caller;
