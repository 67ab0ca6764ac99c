package org.oriolewind.admission;

import java.time.Duration;

/**
 * Settings of an admission gate. Immutable.
 *
 * @param rule how the concurrency limit adapts to the answers of the backend server
 * @param initialLimit concurrency limit of a backend server that has just started, in calls
 * @param minLimit lower bound of the limit, in calls
 * @param maxLimit upper bound of the limit, in calls
 * @param queueLength maximum number of calls that wait for admission; further ones are refused
 * @param queueWait maximum time that a call waits; its deadline may end the wait earlier
 */
public record GateSettings(
        LimitRule rule,
        int initialLimit,
        int minLimit,
        int maxLimit,
        int queueLength,
        Duration queueWait) {
    /** Returns the default settings of the daemon, which the settings file can override. */
    public static GateSettings defaults() {
        return new GateSettings(LimitRule.ADDITIVE, 2, 1, 64, 32, Duration.ofMillis(500));
    }
}
