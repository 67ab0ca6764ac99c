package org.oriolewind.backend;

/**
 * A heartbeat of a backend server. Immutable.
 *
 * @param instanceId ID of the instance; with the start time it identifies the incarnation
 * @param startedMillis start of the incarnation, Unix time in milliseconds; 0 if not stated
 * @param address host and port on which it accepts requests
 * @param service name of its service
 * @param version version of its software
 * @param slots requests that it runs concurrently
 * @param draining whether it is about to shut down and accepts no new requests
 * @param sequence increases with each heartbeat of an incarnation
 * @param coldMillis time for which it will stay cold; 0 if it is warm
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
     * Returns whether another heartbeat is from the same incarnation.
     *
     * @param other the other heartbeat
     * @return true if both the instance ID and the start time are equal
     */
    public boolean isSameIncarnation(BackendHeartbeat other) {
        return instanceId.equals(other.instanceId) && startedMillis == other.startedMillis;
    }
}
