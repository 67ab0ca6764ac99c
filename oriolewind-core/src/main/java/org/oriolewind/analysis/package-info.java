/**
 * Comparison of versions on the evidence of their calls (counts of calls, failures and latencies),
 * and the decisions about the moves of release notes that rest on it.
 */
package org.oriolewind.analysis;
