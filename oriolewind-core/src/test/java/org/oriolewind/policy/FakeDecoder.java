package org.oriolewind.policy;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decodes the documents of tests: a configuration consists of its version, a rollout of {@code
 * version,durationMillis,phase} with an optional phase.
 */
public final class FakeDecoder implements PolicyDecoder {
    /** The host of all routes. */
    public static final String HOST = "host.example";

    private final List<TrafficRoute> mRoutes;

    /**
     * Creates a decoder.
     *
     * @param routes the routes of every decoded configuration
     */
    public FakeDecoder(List<TrafficRoute> routes) {
        mRoutes = List.copyOf(routes);
    }

    /**
     * Creates a route with a timeout of 1000 ms, a target latency of 500 ms and 2 attempts.
     *
     * @param prefix the path prefix
     * @param retrySafety whether requests may be retried
     * @param service the only service of the route
     */
    public static TrafficRoute route(String prefix, RetrySafety retrySafety, String service) {
        List<WeightedService> services = List.of(new WeightedService(service, 1));
        return new TrafficRoute("r" + prefix, HOST, prefix, retrySafety, 1000, 500, 1, 2, services);
    }

    /**
     * Creates a document.
     *
     * @param name the document's name
     * @param revision the store revision of its last change
     * @param content the content as text
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
    public Optional<RolloutSpec> rollout(OperatorDocument document) {
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
