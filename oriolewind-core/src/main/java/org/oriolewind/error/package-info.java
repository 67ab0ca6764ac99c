/** Checked errors that carry the step and the peer at which they arose. */
package org.oriolewind.error;
