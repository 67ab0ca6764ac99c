package org.oriolewind.standins.backend;

/**
 * Capacity, service times and faults of a simulated backend server. Failures and slowdown apply
 * only once both {@code badAfterMillis} has passed and {@code badOverLoad} is exceeded. Immutable.
 * The component names are the keys of its JSON form.
 *
 * @param slots largest number of calls that run concurrently
 * @param queue largest number of calls that wait for a slot; further calls are shed
 * @param serviceMillis mean time that a call takes when warm and without a fault
 * @param coldMillis time after the start during which calls take longer
 * @param coldFactor factor by which calls take longer during {@code coldMillis}
 * @param failPath prefix of the paths on which calls fail; empty for none
 * @param failShare fraction from 0 to 1 of the calls on these paths that fail with status 500
 * @param slowFactor factor by which calls take longer while faulty; 1 for no slowdown
 * @param badAfterMillis time after the start from which calls fail or are slow
 * @param badOverLoad number of running calls above which calls fail or are slow
 * @param lyingHealth whether the health endpoint reports healthy even while draining
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
     * Returns the behaviour of a backend server without faults or cold start, whose queue is four
     * times as long as its number of slots.
     *
     * @param slots largest number of calls that run concurrently
     * @param serviceMillis mean time that a call takes
     */
    public static BackendBehaviour healthy(int slots, int serviceMillis) {
        return new BackendBehaviour(slots, slots * 4, serviceMillis, 0, 1, "", 0, 1, 0, 0, false);
    }

    /**
     * Returns a copy that fails calls on some paths.
     *
     * @param path prefix of the paths
     * @param share fraction from 0 to 1 of the calls on these paths that fail
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
     * Returns a copy that is slow for some time after the start.
     *
     * @param millis duration of the cold start
     * @param factor factor by which calls take longer during the cold start
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
     * Returns a copy that is slow while it is faulty.
     *
     * @param factor factor by which calls take longer
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
     * Returns a copy whose faults appear only after some time and under load.
     *
     * @param afterMillis time after the start from which the faults may appear
     * @param overLoad number of running calls above which the faults appear
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
