package org.oriolewind.node;

/**
 * The settings of the daemon, each with the argument, the default and the help text of its flag.
 * Each can be set by a flag or an environment variable, both named after the constant; the flag
 * takes precedence.
 */
public enum SettingName {
    NODE("NAME", null, "name of this node, unique in the mesh"),
    DATA_CENTRE("NAME", null, "data centre that this node is in"),
    SERVICE("NAME", null, "service of the backend server beside this node"),
    SERVICE_VERSION("NAME", null, "version of the backend server beside this node"),
    BACKEND_ADDRESS("HOST:PORT", null, "address of the backend server beside this node"),
    CALLER_ADDRESS("HOST:PORT", null, "address for callers; no other address accepts them"),
    PEER_ADDRESS("HOST:PORT", null, "address for other nodes"),
    ADMIN_ADDRESS("HOST:PORT", null, "address for status, metrics and drain"),
    PLATFORM_URL("URL", null, "address of the platform's object API"),
    SEEDS("LIST", "", "comma-separated peer addresses to try when the platform is unreachable"),
    PLATFORM_CALLS_PER_SECOND(
            "NUMBER", "10", "largest number of calls per second of this node to the platform"),
    PLATFORM_TIMEOUT_MILLIS("NUMBER", "3000", "timeout of a call to the platform"),
    MAX_CHILDREN("NUMBER", "8", "largest number of children in the control tree"),
    HEARTBEAT_INTERVAL_MILLIS("NUMBER", "1000", "time between heartbeats on a control connection"),
    HEARTBEAT_TIMEOUT_MILLIS(
            "NUMBER", "3000", "time without heartbeats until a control connection is closed"),
    PROBE_INTERVAL_MILLIS("NUMBER", "4000", "time between liveness probes of a random node"),
    LEASE_DURATION_MILLIS("NUMBER", "6000", "time after which another node may take over a lease"),
    WATCH_WAIT_MILLIS("NUMBER", "20000", "longest time that the platform holds a watch"),
    GATE_RULE("NAME", "additive", "how the concurrency limit adapts: fixed, additive or gradient"),
    GATE_INITIAL_LIMIT(
            "NUMBER", "2", "concurrency limit of a backend server that has just started"),
    GATE_MAX_LIMIT("NUMBER", "64", "largest concurrency limit"),
    GATE_QUEUE_LENGTH("NUMBER", "32", "largest number of calls queued at the admission gate"),
    GATE_QUEUE_WAIT_MILLIS("NUMBER", "500", "longest wait in the queue of the admission gate"),
    CALL_TIMEOUT_MILLIS("NUMBER", "10000", "timeout of a call whose caller sets none"),
    MAX_BODY_BYTES("NUMBER", "1048576", "largest body of a call or a response"),
    MAX_HEADER_BYTES("NUMBER", "16384", "largest header section of a call"),
    MAX_CALLER_CONNECTIONS("NUMBER", "1024", "largest number of connections of callers"),
    CALLER_IDLE_TIMEOUT_MILLIS(
            "NUMBER", "30000", "idle or stalled time until a caller's connection is closed"),
    MAX_STREAMS(
            "NUMBER", "1024", "largest number of calls in progress on a connection between nodes"),
    MAX_BACKEND_CONNECTIONS("NUMBER", "120", "largest number of connections to the backend server"),
    MAX_HOPS("NUMBER", "40", "largest number of services that a call may pass"),
    RETRY_SHARE("NUMBER", "0.1", "retries that each call adds to the retry budget"),
    HEALTH_PATH("PATH", "/health", "path of the backend server's health endpoint"),
    DRAIN_TIMEOUT_MILLIS("NUMBER", "30000", "longest wait for calls in progress at shutdown"),
    EVENT_FILE("FILE", "-", "file for events; - is standard output"),
    CALL_EVENT_SHARE("NUMBER", "0.001", "share of calls whose events are recorded, 0 to 1");

    private final String mArgument;
    private final String mDefault;
    private final String mHelp;

    SettingName(String argument, String defaultValue, String help) {
        mArgument = argument;
        mDefault = defaultValue;
        mHelp = help;
    }

    /** Returns the long flag without its leading dashes, such as {@code max-hops}. */
    public String flag() {
        return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }

    /** Returns the name of the environment variable, such as {@code ORIOLEWIND_MAX_HOPS}. */
    public String variable() {
        return "ORIOLEWIND_" + name();
    }

    /** Returns the placeholder of the value in the help text, such as {@code NUMBER}. */
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
