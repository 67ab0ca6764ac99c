package org.oriolewind.config;

import java.math.BigDecimal;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * A release note as operators write it: what is added, changed and withdrawn. Immutable. Omitted
 * lists are empty; required fields are checked by {@link NoteApplier}.
 *
 * @param id the note's ID, unique among all notes
 * @param services changes of services
 * @param routes changes of routes
 * @param versions changes of backend server versions
 * @param moves moves of traffic between versions
 */
public record ReleaseNote(
        String id,
        ServiceChanges services,
        RouteChanges routes,
        VersionChanges versions,
        List<PlannedMove> moves) {
    /** Replaces omitted lists by empty ones. */
    public ReleaseNote {
        services = Objects.requireNonNullElse(services, new ServiceChanges(null, null, null));
        routes = Objects.requireNonNullElse(routes, new RouteChanges(null, null, null));
        versions = Objects.requireNonNullElse(versions, new VersionChanges(null, null));
        moves = copy(moves);
    }

    private static <T> List<T> copy(List<T> list) {
        return list == null ? List.of() : List.copyOf(list);
    }

    /**
     * Changes of services.
     *
     * @param added new services
     * @param changed services whose shares are replaced
     * @param withdrawn names of services to remove
     */
    public record ServiceChanges(
            List<ServiceSpec> added, List<ServiceSpec> changed, List<String> withdrawn) {
        /** Replaces omitted lists by empty ones. */
        public ServiceChanges {
            added = copy(added);
            changed = copy(changed);
            withdrawn = copy(withdrawn);
        }
    }

    /**
     * A service with the shares of its versions.
     *
     * @param name the service's name
     * @param shares percent of the traffic by version; they add up to 100
     */
    public record ServiceSpec(String name, Map<String, BigDecimal> shares) {
        /** Replaces an omitted map by an empty one. */
        public ServiceSpec {
            shares = shares == null ? Map.of() : Map.copyOf(shares);
        }
    }

    /**
     * Changes of routes.
     *
     * @param added new routes
     * @param changed routes that are replaced
     * @param withdrawn names of routes to remove
     */
    public record RouteChanges(
            List<RouteConfig> added, List<RouteConfig> changed, List<String> withdrawn) {
        /** Replaces omitted lists by empty ones. */
        public RouteChanges {
            added = copy(added);
            changed = copy(changed);
            withdrawn = copy(withdrawn);
        }
    }

    /**
     * Changes of backend server versions.
     *
     * @param added new versions, which carry no traffic until a move gives them a share
     * @param withdrawn versions to remove, which must carry no traffic
     */
    public record VersionChanges(List<VersionName> added, List<VersionName> withdrawn) {
        /** Replaces omitted lists by empty ones. */
        public VersionChanges {
            added = copy(added);
            withdrawn = copy(withdrawn);
        }
    }

    /**
     * A version of a service's backend servers.
     *
     * @param service the service's name
     * @param version the version's name
     */
    public record VersionName(String service, String version) {}

    /**
     * A move of traffic between two versions of a service.
     *
     * @param service the service's name
     * @param from the old version, which loses traffic
     * @param to the new version, which gains traffic
     * @param share percent of the service's traffic that {@code to} has after the move
     * @param by the deadline
     */
    public record PlannedMove(
            String service, String from, String to, BigDecimal share, Instant by) {}
}
