package org.oriolewind.admission;

import java.time.Duration;

/**
 * Settings of a gate. Immutable.
 *
 * @param rule the limit rule
 * @param initialLimit the limit of a backend server that was just started
 * @param minLimit the smallest limit
 * @param maxLimit the largest limit
 * @param queueLength calls that may wait at most
 * @param queueWait the longest wait
 */
public record GateSettings(
        LimitRule rule,
        int initialLimit,
        int minLimit,
        int maxLimit,
        int queueLength,
        Duration queueWait) {
    /**
     * Returns the settings that the daemon ships with.
     *
     * @return the settings
     */
    public static GateSettings defaults() {
        return new GateSettings(LimitRule.ADDITIVE, 2, 1, 64, 32, Duration.ofMillis(500));
    }
}
