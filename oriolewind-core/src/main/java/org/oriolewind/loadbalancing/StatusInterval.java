package org.oriolewind.loadbalancing;

/**
 * Intervals between the periodic statuses of a node. Within a data centre it is constant. Nodes
 * elsewhere get them less often the larger the fleet is, up to a limit; a change of state is sent
 * to all at once. Stateless.
 */
public final class StatusInterval {
    /** Interval within a data centre. */
    public static final long LOCAL_MILLIS = 1000;

    /** Time without frames of a node in the local data centre after which it is pinged. */
    public static final long LOCAL_IDLE_MILLIS = 1000;

    private static final long REMOTE_MILLIS_PER_NODE = 30;
    private static final long REMOTE_IDLE_MILLIS_PER_NODE = 50;
    private static final long MAX_REMOTE_MILLIS = 5000;

    /** Size up to which reports of rollouts are as frequent as their stage asks for. */
    private static final int SMALL_FLEET_NODES = 32;

    /** Intervals without a status after which a node counts as unreachable; one may be lost. */
    private static final double TIMEOUT_INTERVALS = 2.5;

    private StatusInterval() {}

    /**
     * Returns the interval of statuses to nodes in other data centres.
     *
     * @param nodes size of the fleet
     * @return milliseconds
     */
    public static long remoteMillis(int nodes) {
        return scaled(nodes * REMOTE_MILLIS_PER_NODE, LOCAL_MILLIS);
    }

    /**
     * Returns the time without frames of a node in another data centre after which it is pinged.
     *
     * @param nodes size of the fleet
     * @return milliseconds
     */
    public static long remoteIdleMillis(int nodes) {
        return scaled(nodes * REMOTE_IDLE_MILLIS_PER_NODE, LOCAL_IDLE_MILLIS);
    }

    private static long scaled(long millis, long minMillis) {
        return Math.max(minMillis, Math.min(MAX_REMOTE_MILLIS, millis));
    }

    /**
     * Returns the interval between reports of the counts of a rollout. A larger fleet counts as
     * much in less time, and each report goes to all of its nodes.
     *
     * @param millis interval in a small fleet
     * @param nodes size of the fleet
     * @return milliseconds
     */
    public static long reportMillis(long millis, int nodes) {
        return millis * Math.max(SMALL_FLEET_NODES, nodes) / SMALL_FLEET_NODES;
    }

    /**
     * Returns the time without a status after which a node counts as unreachable.
     *
     * @param intervalMillis interval of its statuses
     * @return milliseconds
     */
    public static long timeoutMillis(long intervalMillis) {
        return Math.round(intervalMillis * TIMEOUT_INTERVALS);
    }
}
