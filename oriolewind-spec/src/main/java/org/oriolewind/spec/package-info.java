/** The Alloy model of the core protocol and its bounded model check. */
package org.oriolewind.spec;
