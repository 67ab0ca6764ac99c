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
import org.oriolewind.standins.HttpResponses;

/**
 * Serves the object API from memory. Thread-safe.
 *
 * <p>{@code POST /faults} injects faults with a JSON object of these optional fields: {@code
 * outage} (whether the store is unavailable), {@code delayMillis} (delay before each request),
 * {@code loseAnswers} (number of next writes that are applied but get no response), {@code compact}
 * (whether to discard the history, so that watches from older revisions fail) and {@code
 * callsPerSecond} (limit above which requests get status 429). {@code GET /counts} returns the
 * number of store calls so far by kind. Neither path is subject to the faults.
 */
final class PlatformHandler extends Handler.Abstract {
    private static final String OBJECTS_PREFIX = "/objects/";
    private static final long MAX_WATCH_WAIT_MILLIS = 60_000;

    private final MemoryObjectStore mStore = new MemoryObjectStore();
    private volatile long mRequestDelayMillis;
    private volatile int mMaxCallsPerSecond = Integer.MAX_VALUE;
    private long mCurrentSecond;
    private int mCallsInSecond;

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
        String path = Request.getPathInContext(request);
        try {
            if (path.equals("/faults")) {
                injectFaults(request);
                HttpResponses.writeEmpty(response, callback, 204);
            } else if (path.equals("/counts")) {
                HttpResponses.writeJson(
                        response, callback, JsonFormat.mapper().valueToTree(mStore.counts()));
            } else if (exceedsCallRate()) {
                HttpResponses.writeEmpty(response, callback, 429);
            } else {
                Thread.sleep(mRequestDelayMillis);
                serve(request, response, callback, path);
            }
        } catch (PlatformException e) {
            respondToFailure(request, callback, response, e);
        } catch (IllegalArgumentException e) {
            HttpResponses.writeEmpty(response, callback, 400);
        }
        return true;
    }

    private synchronized boolean exceedsCallRate() {
        long second = System.nanoTime() / 1_000_000_000L;
        if (second != mCurrentSecond) {
            mCurrentSecond = second;
            mCallsInSecond = 0;
        }
        mCallsInSecond++;
        return mCallsInSecond > mMaxCallsPerSecond;
    }

    private void injectFaults(Request request) throws Exception {
        JsonNode faults = JsonFormat.mapper().readTree(Content.Source.asString(request));
        if (faults.has("outage")) {
            mStore.setOutage(faults.get("outage").asBoolean());
        }
        if (faults.has("delayMillis")) {
            mRequestDelayMillis = faults.get("delayMillis").asLong();
        }
        if (faults.has("loseAnswers")) {
            mStore.loseResponses(faults.get("loseAnswers").asInt());
        }
        if (faults.path("compact").asBoolean(false)) {
            mStore.compact();
        }
        if (faults.has("callsPerSecond")) {
            mMaxCallsPerSecond = faults.get("callsPerSecond").asInt();
        }
    }

    private void serve(Request request, Response response, Callback callback, String path)
            throws Exception {
        Fields query = Request.extractQueryParameters(request);
        if (path.startsWith(OBJECTS_PREFIX)) {
            String raw = request.getHttpURI().getPath().substring(OBJECTS_PREFIX.length());
            String key = URLDecoder.decode(raw, StandardCharsets.UTF_8);
            if (request.getMethod().equals("PUT")) {
                put(request, response, callback, key);
            } else {
                get(response, callback, key);
            }
        } else if (path.equals("/objects")) {
            HttpResponses.writeJson(
                    response, callback, toJson(mStore.list(query.getValue("prefix"))));
        } else if (path.equals("/watch")) {
            long waitMillis =
                    Math.min(MAX_WATCH_WAIT_MILLIS, Long.parseLong(query.getValue("waitMillis")));
            long afterRevision = Long.parseLong(query.getValue("after"));
            WatchBatch batch =
                    mStore.watch(
                            query.getValue("prefix"), afterRevision, Duration.ofMillis(waitMillis));
            HttpResponses.writeJson(response, callback, toJson(batch));
        } else {
            HttpResponses.writeEmpty(response, callback, 404);
        }
    }

    private void get(Response response, Callback callback, String key) throws PlatformException {
        Optional<StoredObject> stored = mStore.get(key);
        if (stored.isEmpty()) {
            HttpResponses.writeEmpty(response, callback, 404);
            return;
        }
        response.getHeaders().put(HttpHeader.ETAG, "\"" + stored.get().version() + "\"");
        HttpResponses.writeBytes(response, callback, 200, stored.get().value().orElseThrow());
    }

    private void put(Request request, Response response, Callback callback, String key)
            throws Exception {
        byte[] value = Content.Source.asInputStream(request).readAllBytes();
        String match = request.getHeaders().get(HttpHeader.IF_MATCH);
        boolean create = "*".equals(request.getHeaders().get(HttpHeader.IF_NONE_MATCH));
        if (match == null && !create) {
            HttpResponses.writeEmpty(response, callback, 428);
            return;
        }
        long expected = create ? MemoryObjectStore.ABSENT : Long.parseLong(match.replace("\"", ""));
        long version = mStore.put(key, value, expected);
        response.getHeaders().put(HttpHeader.ETAG, "\"" + version + "\"");
        HttpResponses.writeEmpty(response, callback, create ? 201 : 200);
    }

    private static void respondToFailure(
            Request request, Callback callback, Response response, PlatformException e) {
        switch (e.kind()) {
            case CONFLICT -> HttpResponses.writeEmpty(response, callback, 412);
            case TOO_LARGE -> HttpResponses.writeEmpty(response, callback, 413);
            case COMPACTED -> HttpResponses.writeEmpty(response, callback, 410);
            // Simulates a lost response: closes the connection without sending one.
            case OUTCOME_UNKNOWN ->
                    request.getConnectionMetaData().getConnection().getEndPoint().close();
            default -> HttpResponses.writeEmpty(response, callback, 503);
        }
    }

    private static ObjectNode toJson(WatchBatch batch) {
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
