package org.oriolewind.node;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Supplier;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.oriolewind.config.JsonFormat;

/**
 * HTTP endpoints for operators: {@code GET /status}, {@code GET /metrics} and {@code POST /drain}.
 * A drain request returns before the drain is complete. Thread-safe.
 */
final class AdminHandler extends Handler.Abstract {
    private static final double NANOS_PER_MILLI = 1e6;

    private final Supplier<JsonNode> mStatus;
    private final MetricRegistry mRegistry;
    private final Runnable mDrain;

    AdminHandler(Supplier<JsonNode> status, MetricRegistry registry, Runnable drain) {
        mStatus = status;
        mRegistry = registry;
        mDrain = drain;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        String endpoint = request.getMethod() + " " + Request.getPathInContext(request);
        switch (endpoint) {
            case "GET /status" -> write(response, callback, 200, mStatus.get());
            case "GET /metrics" -> write(response, callback, 200, metrics());
            case "POST /drain" -> {
                mDrain.run();
                write(response, callback, 202, mStatus.get());
            }
            default ->
                    write(
                            response,
                            callback,
                            404,
                            JsonFormat.mapper()
                                    .createObjectNode()
                                    .put("problem", "GET /status, GET /metrics, POST /drain"));
        }
        return true;
    }

    private JsonNode metrics() {
        ObjectNode root = JsonFormat.mapper().createObjectNode();
        mRegistry
                .getGauges()
                .forEach((name, gauge) -> root.putPOJO(name, ((Gauge<?>) gauge).getValue()));
        mRegistry.getCounters().forEach((name, counter) -> root.put(name, count(counter)));
        mRegistry.getMeters().forEach((name, meter) -> putMeter(root.putObject(name), meter));
        mRegistry.getTimers().forEach((name, timer) -> putTimer(root.putObject(name), timer));
        return root;
    }

    private static long count(Counter counter) {
        return counter.getCount();
    }

    private static void putMeter(ObjectNode node, Meter meter) {
        node.put("count", meter.getCount());
        node.put("perSecondOneMinute", meter.getOneMinuteRate());
    }

    private static void putTimer(ObjectNode node, Timer timer) {
        Snapshot snapshot = timer.getSnapshot();
        node.put("count", timer.getCount());
        node.put("medianMillis", snapshot.getMedian() / NANOS_PER_MILLI);
        node.put("p99Millis", snapshot.get99thPercentile() / NANOS_PER_MILLI);
        node.put("maxMillis", snapshot.getMax() / NANOS_PER_MILLI);
    }

    private static void write(Response response, Callback callback, int status, JsonNode body) {
        byte[] json = (body.toString() + "\n").getBytes(StandardCharsets.UTF_8);
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, json.length);
        response.write(true, ByteBuffer.wrap(json), callback);
    }
}
