/** A load generator that acts as a caller and records the outcomes of its calls. */
package org.oriolewind.standins.caller;
