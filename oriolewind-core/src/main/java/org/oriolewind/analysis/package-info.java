/**
 * Comparison of versions on the evidence of their calls, and the decisions about the moves of
 * release notes.
 */
package org.oriolewind.analysis;
