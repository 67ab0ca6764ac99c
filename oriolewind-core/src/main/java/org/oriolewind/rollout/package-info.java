/**
 * Rollouts of new backend server versions that operators order on the platform: the share of calls,
 * the evidence and the outcome. Moves, the counterpart in release notes, are decided in {@link
 * org.oriolewind.analysis}.
 */
package org.oriolewind.rollout;
