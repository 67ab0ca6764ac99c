package org.oriolewind.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Base64;
import java.util.Optional;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;
import org.oriolewind.config.JsonFormat;
import org.oriolewind.platform.MemoryObjectStore;
import org.oriolewind.platform.PlatformException;
import org.oriolewind.platform.StoredObject;
import org.oriolewind.platform.WatchBatch;
import org.oriolewind.standins.HttpReplies;

/**
 * Serves the object API, and {@code POST /faults} to order faults: {@code outage}, {@code
 * delayMillis}, {@code loseAnswers}, {@code compact}, {@code callsPerSecond}. {@code GET /counts}
 * tells the calls so far. Safe for use by several threads.
 */
final class PlatformHandler extends Handler.Abstract {
    private static final String OBJECTS = "/objects/";
    private static final long MAX_WAIT_MILLIS = 60_000;

    private final MemoryObjectStore mStore = new MemoryObjectStore();
    private volatile long mDelayMillis;
    private volatile int mCallsPerSecond = Integer.MAX_VALUE;
    private long mSecond;
    private int mCallsInSecond;

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
        String path = Request.getPathInContext(request);
        try {
            if (path.equals("/faults")) {
                orderFaults(request);
                HttpReplies.empty(response, callback, 204);
            } else if (path.equals("/counts")) {
                HttpReplies.json(
                        response, callback, JsonFormat.mapper().valueToTree(mStore.counts()));
            } else if (isOverRate()) {
                HttpReplies.empty(response, callback, 429);
            } else {
                Thread.sleep(mDelayMillis);
                serve(request, response, callback, path);
            }
        } catch (PlatformException e) {
            fail(request, callback, response, e);
        } catch (IllegalArgumentException e) {
            HttpReplies.empty(response, callback, 400);
        }
        return true;
    }

    private synchronized boolean isOverRate() {
        long second = System.nanoTime() / 1_000_000_000L;
        if (second != mSecond) {
            mSecond = second;
            mCallsInSecond = 0;
        }
        mCallsInSecond++;
        return mCallsInSecond > mCallsPerSecond;
    }

    private void orderFaults(Request request) throws Exception {
        JsonNode faults = JsonFormat.mapper().readTree(Content.Source.asString(request));
        if (faults.has("outage")) {
            mStore.setOutage(faults.get("outage").asBoolean());
        }
        if (faults.has("delayMillis")) {
            mDelayMillis = faults.get("delayMillis").asLong();
        }
        if (faults.has("loseAnswers")) {
            mStore.loseResponses(faults.get("loseAnswers").asInt());
        }
        if (faults.path("compact").asBoolean(false)) {
            mStore.compact();
        }
        if (faults.has("callsPerSecond")) {
            mCallsPerSecond = faults.get("callsPerSecond").asInt();
        }
    }

    private void serve(Request request, Response response, Callback callback, String path)
            throws Exception {
        Fields query = Request.extractQueryParameters(request);
        if (path.startsWith(OBJECTS)) {
            String raw = request.getHttpURI().getPath().substring(OBJECTS.length());
            String key = URLDecoder.decode(raw, StandardCharsets.UTF_8);
            if (request.getMethod().equals("PUT")) {
                put(request, response, callback, key);
            } else {
                get(response, callback, key);
            }
        } else if (path.equals("/objects")) {
            HttpReplies.json(response, callback, json(mStore.list(query.getValue("prefix"))));
        } else if (path.equals("/watch")) {
            long waitMillis =
                    Math.min(MAX_WAIT_MILLIS, Long.parseLong(query.getValue("waitMillis")));
            long after = Long.parseLong(query.getValue("after"));
            WatchBatch batch =
                    mStore.watch(query.getValue("prefix"), after, Duration.ofMillis(waitMillis));
            HttpReplies.json(response, callback, json(batch));
        } else {
            HttpReplies.empty(response, callback, 404);
        }
    }

    private void get(Response response, Callback callback, String key) throws PlatformException {
        Optional<StoredObject> stored = mStore.get(key);
        if (stored.isEmpty()) {
            HttpReplies.empty(response, callback, 404);
            return;
        }
        response.getHeaders().put(HttpHeader.ETAG, "\"" + stored.get().version() + "\"");
        HttpReplies.bytes(response, callback, 200, stored.get().value().orElseThrow());
    }

    private void put(Request request, Response response, Callback callback, String key)
            throws Exception {
        byte[] value = Content.Source.asInputStream(request).readAllBytes();
        String match = request.getHeaders().get(HttpHeader.IF_MATCH);
        boolean create = "*".equals(request.getHeaders().get(HttpHeader.IF_NONE_MATCH));
        if (match == null && !create) {
            HttpReplies.empty(response, callback, 428);
            return;
        }
        long expected = create ? MemoryObjectStore.ABSENT : Long.parseLong(match.replace("\"", ""));
        long version = mStore.put(key, value, expected);
        response.getHeaders().put(HttpHeader.ETAG, "\"" + version + "\"");
        HttpReplies.empty(response, callback, create ? 201 : 200);
    }

    private static void fail(
            Request request, Callback callback, Response response, PlatformException e) {
        switch (e.kind()) {
            case CONFLICT -> HttpReplies.empty(response, callback, 412);
            case TOO_LARGE -> HttpReplies.empty(response, callback, 413);
            case COMPACTED -> HttpReplies.empty(response, callback, 410);
            // The answer is lost on its way: the connection ends without one.
            case OUTCOME_UNKNOWN ->
                    request.getConnectionMetaData().getConnection().getEndPoint().close();
            default -> HttpReplies.empty(response, callback, 503);
        }
    }

    private static ObjectNode json(WatchBatch batch) {
        ObjectNode root = JsonFormat.mapper().createObjectNode();
        root.put("revision", batch.revision());
        ArrayNode objects = root.putArray("objects");
        for (StoredObject stored : batch.objects()) {
            ObjectNode node = objects.addObject();
            node.put("key", stored.key()).put("version", stored.version());
            stored.value().ifPresent(v -> node.put("value", Base64.getEncoder().encodeToString(v)));
        }
        return root;
    }
}
