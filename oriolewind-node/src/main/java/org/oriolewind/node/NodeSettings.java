package org.oriolewind.node;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.oriolewind.admission.GateSettings;
import org.oriolewind.admission.LimitRule;
import org.oriolewind.control.ControlSettings;
import org.oriolewind.node.call.CallerLimits;

/**
 * The validated settings of a daemon. Immutable.
 *
 * @param node name of the node, unique in the mesh
 * @param dataCentre data centre of the node
 * @param service service of the backend server
 * @param serviceVersion version of the backend server
 * @param backend address of the backend server
 * @param caller listening address for callers
 * @param peer listening address for other nodes
 * @param admin listening address for operators
 * @param platformUrl base URL of the platform's object API, without a trailing slash
 * @param platformCallsPerSecond rate limit of calls to the platform
 * @param platformTimeout timeout of a call to the platform
 * @param control settings of the control plane
 * @param gate settings of the admission gate
 * @param limits limits on calls of callers
 * @param maxHeaderBytes largest header section of a request
 * @param maxCallerConnections largest number of connections of callers
 * @param maxBackendConnections largest number of connections to the backend server
 * @param callerIdleTimeout idle or stalled time after which a caller's connection is closed
 * @param healthPath path of the backend server's health endpoint
 * @param drainTimeout longest time to wait for calls in progress at shutdown
 * @param eventFile file to which events are appended, or {@code -} for standard output
 */
public record NodeSettings(
        String node,
        String dataCentre,
        String service,
        String serviceVersion,
        InetSocketAddress backend,
        InetSocketAddress caller,
        InetSocketAddress peer,
        InetSocketAddress admin,
        String platformUrl,
        int platformCallsPerSecond,
        Duration platformTimeout,
        ControlSettings control,
        GateSettings gate,
        CallerLimits limits,
        int maxHeaderBytes,
        int maxCallerConnections,
        int maxBackendConnections,
        Duration callerIdleTimeout,
        String healthPath,
        Duration drainTimeout,
        String eventFile) {
    private static final int MAX_MILLIS = 600_000;
    private static final int MAX_COUNT = 65_536;

    /**
     * Reads and validates all settings. A flag takes precedence over the environment variable.
     *
     * @throws SettingsException with all errors, if there is any
     */
    public static NodeSettings read(CommandLine flags, Map<String, String> environment)
            throws SettingsException {
        SettingsReader reader = new SettingsReader(flags, environment);
        NodeSettings settings =
                new NodeSettings(
                        reader.name(SettingName.NODE),
                        reader.name(SettingName.DATA_CENTRE),
                        reader.name(SettingName.SERVICE),
                        reader.name(SettingName.SERVICE_VERSION),
                        reader.address(SettingName.BACKEND_ADDRESS),
                        reader.address(SettingName.CALLER_ADDRESS),
                        reader.address(SettingName.PEER_ADDRESS),
                        reader.address(SettingName.ADMIN_ADDRESS),
                        reader.url(SettingName.PLATFORM_URL),
                        reader.integer(SettingName.PLATFORM_CALLS_PER_SECOND, 1, 1000),
                        reader.millis(SettingName.PLATFORM_TIMEOUT_MILLIS, 100, 60_000),
                        control(reader),
                        gate(reader),
                        limits(reader),
                        reader.integer(SettingName.MAX_HEADER_BYTES, 1024, 1_048_576),
                        reader.integer(SettingName.MAX_CALLER_CONNECTIONS, 1, MAX_COUNT),
                        reader.integer(SettingName.MAX_BACKEND_CONNECTIONS, 1, MAX_COUNT),
                        reader.millis(SettingName.CALLER_IDLE_TIMEOUT_MILLIS, 100, MAX_MILLIS),
                        reader.string(SettingName.HEALTH_PATH),
                        reader.millis(SettingName.DRAIN_TIMEOUT_MILLIS, 0, MAX_MILLIS),
                        reader.string(SettingName.EVENT_FILE));
        if (!reader.errors().isEmpty()) {
            throw new SettingsException(reader.errors());
        }
        return settings;
    }

    private static ControlSettings control(SettingsReader reader) {
        return new ControlSettings(
                reader.millis(SettingName.HEARTBEAT_INTERVAL_MILLIS, 100, 60_000),
                reader.millis(SettingName.HEARTBEAT_TIMEOUT_MILLIS, 300, 120_000),
                reader.millis(SettingName.PROBE_INTERVAL_MILLIS, 100, 60_000),
                reader.millis(SettingName.LEASE_DURATION_MILLIS, 1000, 120_000),
                reader.millis(SettingName.WATCH_WAIT_MILLIS, 100, 300_000),
                reader.integer(SettingName.MAX_CHILDREN, 2, 64),
                reader.addresses(SettingName.SEEDS));
    }

    private static GateSettings gate(SettingsReader reader) {
        return new GateSettings(
                reader.choice(SettingName.GATE_RULE, LimitRule.class),
                reader.integer(SettingName.GATE_INITIAL_LIMIT, 1, MAX_COUNT),
                1,
                reader.integer(SettingName.GATE_MAX_LIMIT, 1, MAX_COUNT),
                reader.integer(SettingName.GATE_QUEUE_LENGTH, 0, MAX_COUNT),
                reader.millis(SettingName.GATE_QUEUE_WAIT_MILLIS, 0, 60_000));
    }

    private static CallerLimits limits(SettingsReader reader) {
        return new CallerLimits(
                reader.integer(SettingName.MAX_BODY_BYTES, 1024, 2_097_152),
                reader.integer(SettingName.CALL_TIMEOUT_MILLIS, 1, MAX_MILLIS),
                reader.integer(SettingName.MAX_HOPS, 1, 64),
                reader.integer(SettingName.MAX_STREAMS, 1, MAX_COUNT),
                reader.share(SettingName.RETRY_SHARE),
                reader.share(SettingName.CALL_EVENT_SHARE));
    }
}
