/** Leases on duties, held by conditional writes with a growing term. */
package org.oriolewind.lease;
