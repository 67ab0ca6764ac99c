package org.oriolewind.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** One version of the operators' routes, services and client limits. Immutable. */
public final class TrafficPolicy {
    private final long mVersion;
    private final Map<String, List<TrafficRoute>> mRoutesByHost = new HashMap<>();
    private final Map<String, ServicePolicy> mServices;
    private final ClientLimits mLimits;

    /**
     * Creates a policy.
     *
     * @param version the operators' version number
     * @param routes the routes of all hosts, in any order
     * @param services the service settings by service name
     * @param limits the limits for clients
     */
    public TrafficPolicy(
            long version,
            Collection<TrafficRoute> routes,
            Map<String, ServicePolicy> services,
            ClientLimits limits) {
        mVersion = version;
        mServices = Map.copyOf(services);
        mLimits = limits;
        for (TrafficRoute route : routes) {
            mRoutesByHost.computeIfAbsent(route.host(), h -> new ArrayList<>()).add(route);
        }
        // The longest prefix comes first, so that the first match is the most specific one.
        Comparator<TrafficRoute> longestFirst =
                Comparator.comparingInt((TrafficRoute r) -> r.pathPrefix().length()).reversed();
        mRoutesByHost.values().forEach(list -> list.sort(longestFirst));
    }

    /**
     * Returns the route that matches a request.
     *
     * @param host the host in lower case, without a port
     * @param path the path without its query
     * @return the route of the host with the longest matching path prefix, empty if none matches
     */
    public Optional<TrafficRoute> route(String host, String path) {
        for (TrafficRoute route : mRoutesByHost.getOrDefault(host, List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the settings of a service.
     *
     * @param name the service's name
     * @return the settings, empty if the policy has none for this service
     */
    public Optional<ServicePolicy> service(String name) {
        return Optional.ofNullable(mServices.get(name));
    }

    /** Returns the operators' version number of this policy. */
    public long version() {
        return mVersion;
    }

    /** Returns the limits on what clients may send. */
    public ClientLimits limits() {
        return mLimits;
    }
}
