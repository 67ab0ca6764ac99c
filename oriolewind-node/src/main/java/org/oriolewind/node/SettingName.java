package org.oriolewind.node;

/** The settings of the daemon. Each is a flag and an environment variable; the flag wins. */
public enum SettingName {
    /** The node's name. */
    NODE("NAME", null, "name of this node, unique in the mesh"),
    /** The data centre. */
    DATA_CENTRE("NAME", null, "data centre that this node is in"),
    /** The service. */
    SERVICE("NAME", null, "service of the backend server beside this node"),
    /** The backend server version. */
    SERVICE_VERSION("NAME", null, "version of the backend server beside this node"),
    /** The backend server's address. */
    BACKEND_ADDRESS("HOST:PORT", null, "address of the backend server beside this node"),
    /** The address for callers. */
    CALLER_ADDRESS("HOST:PORT", null, "address for callers; the only one that takes them"),
    /** The address for other nodes. */
    PEER_ADDRESS("HOST:PORT", null, "address for other nodes"),
    /** The address for operators. */
    ADMIN_ADDRESS("HOST:PORT", null, "address for status, metrics and drain"),
    /** The platform's address. */
    PLATFORM_URL("URL", null, "address of the platform's object API"),
    /** Peers to try when the platform is away. */
    SEEDS("LIST", "", "peer addresses to try when the platform is away, with commas between"),
    /** Calls to the platform. */
    PLATFORM_CALLS_PER_SECOND("NUMBER", "10", "most calls of this node to the platform a second"),
    /** Platform timeout. */
    PLATFORM_TIMEOUT_MILLIS("NUMBER", "3000", "longest time for a call to the platform"),
    /** Tree fan-out. */
    MAX_CHILDREN("NUMBER", "8", "most children in the control tree"),
    /** Heartbeats. */
    HEARTBEAT_INTERVAL_MILLIS("NUMBER", "1000", "time between heartbeats on a control link"),
    /** Heartbeat timeout. */
    HEARTBEAT_TIMEOUT_MILLIS("NUMBER", "3000", "silence after which a control link is given up"),
    /** Liveness checks. */
    PROBE_INTERVAL_MILLIS("NUMBER", "4000", "time between liveness checks of a random node"),
    /** Lease duration. */
    LEASE_DURATION_MILLIS("NUMBER", "6000", "time after which a lease may be taken over"),
    /** Watch duration. */
    WATCH_WAIT_MILLIS("NUMBER", "20000", "longest wait of a watch at the platform"),
    /** Limit rule. */
    GATE_RULE("NAME", "additive", "how the limit follows: fixed, additive or gradient"),
    /** First limit. */
    GATE_INITIAL_LIMIT("NUMBER", "2", "concurrency limit of a backend server just started"),
    /** Largest limit. */
    GATE_MAX_LIMIT("NUMBER", "64", "largest concurrency limit"),
    /** Queue length. */
    GATE_QUEUE_LENGTH("NUMBER", "32", "most calls that wait at the gate"),
    /** Queue wait. */
    GATE_QUEUE_WAIT_MILLIS("NUMBER", "500", "longest wait at the gate"),
    /** Call timeout. */
    CALL_TIMEOUT_MILLIS("NUMBER", "10000", "time for a call whose caller sets none"),
    /** Body size. */
    MAX_BODY_BYTES("NUMBER", "1048576", "largest body of a call or an answer"),
    /** Header size. */
    MAX_HEADER_BYTES("NUMBER", "16384", "largest header section of a call"),
    /** Connections. */
    MAX_CALLER_CONNECTIONS("NUMBER", "1024", "most connections of callers"),
    /** Idle connections. */
    CALLER_IDLE_TIMEOUT_MILLIS("NUMBER", "30000", "idle or stalled time of a caller's connection"),
    /** Streams. */
    MAX_STREAMS("NUMBER", "1024", "most calls in progress on one connection between nodes"),
    /** Backend connections. */
    MAX_BACKEND_CONNECTIONS("NUMBER", "120", "most connections to the backend server"),
    /** Hops. */
    MAX_HOPS("NUMBER", "40", "most services that a call may pass"),
    /** Retries. */
    RETRY_SHARE("NUMBER", "0.1", "retries earned by each call"),
    /** Health path. */
    HEALTH_PATH("PATH", "/health", "path of the backend server's health endpoint"),
    /** Drain. */
    DRAIN_TIMEOUT_MILLIS("NUMBER", "30000", "longest time for calls in progress at the end"),
    /** Event output. */
    EVENT_FILE("FILE", "-", "file for events; - is standard output"),
    /** Share of call events. */
    CALL_EVENT_SHARE("NUMBER", "0.001", "share of calls whose events are recorded, 0 to 1");

    private final String mArgument;
    private final String mDefault;
    private final String mHelp;

    SettingName(String argument, String defaultValue, String help) {
        mArgument = argument;
        mDefault = defaultValue;
        mHelp = help;
    }

    /**
     * Returns the flag.
     *
     * @return the name without its dashes
     */
    public String flag() {
        return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }

    /**
     * Returns the environment variable.
     *
     * @return the name
     */
    public String variable() {
        return "ORIOLEWIND_" + name();
    }

    String argument() {
        return mArgument;
    }

    /** Returns the default, or null if the setting is required. */
    String defaultValue() {
        return mDefault;
    }

    String help() {
        return mHelp;
    }
}
