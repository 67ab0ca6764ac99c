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
 * The checked settings of a daemon. Immutable.
 *
 * @param node the node's name
 * @param dataCentre the data centre
 * @param service the service of the backend server
 * @param serviceVersion the version of the backend server
 * @param backend the backend server's address
 * @param caller the address for callers
 * @param peer the address for other nodes
 * @param admin the address for operators
 * @param platformUrl the platform's address
 * @param platformCallsPerSecond most calls to the platform
 * @param platformTimeout longest time for a call to the platform
 * @param control settings of the control side
 * @param gate settings of the gate
 * @param limits limits towards callers
 * @param maxHeaderBytes largest header section
 * @param maxCallerConnections most connections of callers
 * @param maxBackendConnections most connections to the backend server
 * @param callerIdleTimeout idle time of a caller's connection
 * @param healthPath path of the backend server's health endpoint
 * @param drainTimeout longest time for calls in progress at the end
 * @param eventFile file for events, or {@code -}
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
     * Reads and checks all settings.
     *
     * @param flags the command line
     * @param environment the environment variables
     * @return the settings
     * @throws SettingsException with all faults, if there is any
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
                        reader.plain(SettingName.HEALTH_PATH),
                        reader.millis(SettingName.DRAIN_TIMEOUT_MILLIS, 0, MAX_MILLIS),
                        reader.plain(SettingName.EVENT_FILE));
        if (!reader.faults().isEmpty()) {
            throw new SettingsException(reader.faults());
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
