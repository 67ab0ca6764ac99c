package org.oriolewind.standins.backend;

/**
 * How a backend server behaves. Immutable.
 *
 * @param slots calls that run at once
 * @param queue calls that wait; more are shed
 * @param serviceMillis time that a call takes
 * @param coldMillis time after the start during which calls take longer
 * @param coldFactor how many times longer
 * @param failPath prefix of the paths on which calls fail; empty for none
 * @param failShare share of the calls on these paths that fail
 * @param slowFactor how many times longer calls take, 1 for none
 * @param badAfterMillis time after the start from which calls fail or are slow
 * @param badOverLoad calls in progress beyond which calls fail or are slow
 * @param lyingHealth whether the health endpoint always says that all is well
 */
public record BackendBehaviour(
        int slots,
        int queue,
        int serviceMillis,
        int coldMillis,
        double coldFactor,
        String failPath,
        double failShare,
        double slowFactor,
        int badAfterMillis,
        int badOverLoad,
        boolean lyingHealth) {
    /**
     * Returns a good backend server of a size.
     *
     * @param slots calls that run at once
     * @param serviceMillis time that a call takes
     * @return the behaviour
     */
    public static BackendBehaviour healthy(int slots, int serviceMillis) {
        return new BackendBehaviour(slots, slots * 4, serviceMillis, 0, 1, "", 0, 1, 0, 0, false);
    }

    /**
     * Returns a copy that fails on some paths.
     *
     * @param path prefix of the paths
     * @param share share of the calls that fail
     * @return the copy
     */
    public BackendBehaviour withFailures(String path, double share) {
        return new BackendBehaviour(
                slots,
                queue,
                serviceMillis,
                coldMillis,
                coldFactor,
                path,
                share,
                slowFactor,
                badAfterMillis,
                badOverLoad,
                lyingHealth);
    }

    /**
     * Returns a copy that is slow for a while after the start.
     *
     * @param millis the time
     * @param factor how many times longer calls take
     * @return the copy
     */
    public BackendBehaviour withColdStart(int millis, double factor) {
        return new BackendBehaviour(
                slots,
                queue,
                serviceMillis,
                millis,
                factor,
                failPath,
                failShare,
                slowFactor,
                badAfterMillis,
                badOverLoad,
                lyingHealth);
    }

    /**
     * Returns a copy that is slow.
     *
     * @param factor how many times longer calls take
     * @return the copy
     */
    public BackendBehaviour withSlowdown(double factor) {
        return new BackendBehaviour(
                slots,
                queue,
                serviceMillis,
                coldMillis,
                coldFactor,
                failPath,
                failShare,
                factor,
                badAfterMillis,
                badOverLoad,
                lyingHealth);
    }

    /**
     * Returns a copy whose faults show only later or under load.
     *
     * @param afterMillis time after the start from which they show
     * @param overLoad calls in progress beyond which they show
     * @return the copy
     */
    public BackendBehaviour withFaultTrigger(int afterMillis, int overLoad) {
        return new BackendBehaviour(
                slots,
                queue,
                serviceMillis,
                coldMillis,
                coldFactor,
                failPath,
                failShare,
                slowFactor,
                afterMillis,
                overLoad,
                lyingHealth);
    }
}
