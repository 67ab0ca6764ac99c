/**
 * Rollouts of new backend server versions that operators order on the platform: the share of calls,
 * the evidence and the outcome.
 */
package org.oriolewind.rollout;
