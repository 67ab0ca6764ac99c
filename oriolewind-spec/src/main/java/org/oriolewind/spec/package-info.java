/** The specification of the core protocol and its bounded check. */
package org.oriolewind.spec;
