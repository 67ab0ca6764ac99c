package org.oriolewind.backend;

/**
 * A heartbeat of a backend server. Immutable.
 *
 * @param instanceId id of the backend server's lifetime
 * @param startedMillis its start, Unix milliseconds; 0 if not said
 * @param address where it takes requests
 * @param service its service
 * @param version version of its software
 * @param slots requests that it runs at a time
 * @param draining whether it is about to leave
 * @param sequence grows with each heartbeat of a lifetime
 * @param coldMillis time for which it stays cold
 */
public record BackendHeartbeat(
        String instanceId,
        long startedMillis,
        String address,
        String service,
        String version,
        int slots,
        boolean draining,
        long sequence,
        long coldMillis) {
    /**
     * Returns whether another heartbeat is of the same lifetime.
     *
     * @param other the other heartbeat
     * @return true if id and start are equal
     */
    public boolean isSameIncarnation(BackendHeartbeat other) {
        return instanceId.equals(other.instanceId) && startedMillis == other.startedMillis;
    }
}
