package org.oriolewind.policy;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Documents of tests: a configuration is its version, an order is {@code target,millis,phase}. */
public final class FakeDecoder implements PolicyDecoder {
    /** The host of all routes. */
    public static final String HOST = "host.example";

    private final List<TrafficRoute> mRoutes;

    /**
     * Creates a decoder.
     *
     * @param routes the routes of every configuration
     */
    public FakeDecoder(List<TrafficRoute> routes) {
        mRoutes = List.copyOf(routes);
    }

    /**
     * Makes a route.
     *
     * @param prefix the path prefix
     * @param kind what may be repeated
     * @param service the service
     * @return the route
     */
    public static TrafficRoute route(String prefix, RetrySafety kind, String service) {
        List<WeightedService> parts = List.of(new WeightedService(service, 1));
        return new TrafficRoute("r" + prefix, HOST, prefix, kind, 1000, 500, 1, 2, parts);
    }

    /**
     * Makes a document.
     *
     * @param name the name
     * @param revision the revision
     * @param content the content
     * @return the document
     */
    public static OperatorDocument document(String name, long revision, String content) {
        return new OperatorDocument(name, revision, ByteString.copyFromUtf8(content));
    }

    @Override
    public Optional<TrafficPolicy> policy(OperatorDocument document) {
        long version = Long.parseLong(document.content().toStringUtf8());
        return Optional.of(new TrafficPolicy(version, mRoutes, Map.of(), ClientLimits.DEFAULT));
    }

    @Override
    public Optional<RolloutSpec> trial(OperatorDocument document) {
        String[] parts = document.content().toStringUtf8().split(",");
        Optional<RolloutPhase> phase =
                parts.length < 3 ? Optional.empty() : Optional.of(RolloutPhase.valueOf(parts[2]));
        return Optional.of(
                new RolloutSpec(
                        document.name(),
                        parts[0],
                        Long.parseLong(parts[1]),
                        0,
                        document.revision(),
                        phase));
    }
}
