package org.oriolewind.node.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.oriolewind.config.JsonFormat;
import org.oriolewind.platform.ObjectStore;
import org.oriolewind.platform.PlatformException;
import org.oriolewind.platform.PlatformException.Kind;
import org.oriolewind.platform.StoredObject;
import org.oriolewind.platform.WatchBatch;

/**
 * HTTP client of the platform's object API: {@code GET}, and {@code PUT} with {@code If-Match} or
 * {@code If-None-Match}, on {@code /objects/KEY}; {@code GET /objects?prefix=} lists objects;
 * {@code GET /watch} waits for changes. All calls block. Thread-safe.
 */
public final class HttpObjectStore implements ObjectStore {
    private static final int MAX_RESPONSE_BYTES = 64 * 1024 * 1024;
    private static final Duration WATCH_MARGIN = Duration.ofSeconds(5);

    private final HttpClient mClient;
    private final String mUrl;
    private final Duration mTimeout;

    /**
     * Creates a store; no call is made before the first use.
     *
     * @param client a started client, which the caller stops
     * @param url base URL of the platform, without a trailing slash
     * @param timeout timeout of all calls but {@link #watch}
     */
    public HttpObjectStore(HttpClient client, String url, Duration timeout) {
        mClient = client;
        mUrl = url;
        mTimeout = timeout;
    }

    @Override
    public Optional<StoredObject> get(String key) throws PlatformException {
        String operation = "get " + key;
        ContentResponse response =
                send(request(HttpMethod.GET, objectUrl(key)), operation, mTimeout);
        if (response.getStatus() == 404) {
            return Optional.empty();
        }
        check(response, operation);
        return Optional.of(
                new StoredObject(
                        key, version(response, operation), Optional.of(response.getContent())));
    }

    @Override
    public long put(String key, byte[] value, long expectedVersion) throws PlatformException {
        String operation = "put " + key;
        Request request = request(HttpMethod.PUT, objectUrl(key));
        if (expectedVersion == ABSENT) {
            request.headers(h -> h.put(HttpHeader.IF_NONE_MATCH, "*"));
        } else {
            request.headers(h -> h.put(HttpHeader.IF_MATCH, "\"" + expectedVersion + "\""));
        }
        request.body(new BytesRequestContent("application/json", value));
        ContentResponse response = send(request, operation, mTimeout);
        check(response, operation);
        return version(response, operation);
    }

    @Override
    public WatchBatch list(String prefix) throws PlatformException {
        String operation = "list " + prefix;
        String url = mUrl + "/objects?prefix=" + encode(prefix);
        return batch(send(request(HttpMethod.GET, url), operation, mTimeout), operation);
    }

    @Override
    public WatchBatch watch(String prefix, long afterRevision, Duration wait)
            throws PlatformException {
        String operation = "watch " + prefix;
        String url =
                String.format(
                        "%s/watch?prefix=%s&after=%d&waitMillis=%d",
                        mUrl, encode(prefix), afterRevision, wait.toMillis());
        return batch(
                send(request(HttpMethod.GET, url), operation, wait.plus(WATCH_MARGIN)), operation);
    }

    private Request request(HttpMethod method, String url) {
        return mClient.newRequest(url).method(method);
    }

    private String objectUrl(String key) {
        return mUrl + "/objects/" + encode(key).replace("%2F", "/");
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    private ContentResponse send(Request request, String operation, Duration timeout)
            throws PlatformException {
        boolean write = HttpMethod.PUT.is(request.getMethod());
        SentFlag sent = new SentFlag();
        request.onRequestBegin(r -> sent.mSent = true);
        request.timeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
        request.idleTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
        try {
            return new CompletableResponseListener(request, MAX_RESPONSE_BYTES)
                    .send()
                    .get(timeout.toMillis() + 1000, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new PlatformException(ambiguousKind(write), operation, mUrl, "interrupted", e);
        } catch (ExecutionException | TimeoutException e) {
            Kind kind = sent.mSent ? ambiguousKind(write) : Kind.UNAVAILABLE;
            throw new PlatformException(kind, operation, mUrl, "no response", e);
        }
    }

    private static Kind ambiguousKind(boolean write) {
        return write ? Kind.OUTCOME_UNKNOWN : Kind.UNAVAILABLE;
    }

    /**
     * Set once any byte of a request may have been sent: a write may have taken effect from then
     * on.
     */
    private static final class SentFlag {
        volatile boolean mSent;
    }

    private void check(ContentResponse response, String operation) throws PlatformException {
        int status = response.getStatus();
        if (status / 100 == 2) {
            return;
        }
        Kind kind =
                switch (status) {
                    case 409, 412 -> Kind.CONFLICT;
                    case 410 -> Kind.COMPACTED;
                    case 413 -> Kind.TOO_LARGE;
                    case 429 -> Kind.RATE_LIMITED;
                    case 503 -> Kind.UNAVAILABLE;
                    default -> Kind.MALFORMED_RESPONSE;
                };
        throw new PlatformException(kind, operation, mUrl, "response status " + status, null);
    }

    private long version(ContentResponse response, String operation) throws PlatformException {
        String tag = response.getHeaders().get(HttpHeader.ETAG);
        try {
            return Long.parseLong(tag.replace("\"", ""));
        } catch (NumberFormatException | NullPointerException e) {
            throw new PlatformException(
                    Kind.MALFORMED_RESPONSE, operation, mUrl, "invalid ETag " + tag, e);
        }
    }

    private WatchBatch batch(ContentResponse response, String operation) throws PlatformException {
        check(response, operation);
        try {
            JsonNode root = JsonFormat.mapper().readTree(response.getContent());
            List<StoredObject> objects = new ArrayList<>();
            for (JsonNode node : root.required("objects")) {
                Optional<byte[]> value =
                        Optional.ofNullable(node.get("value"))
                                .map(v -> Base64.getDecoder().decode(v.asText()));
                objects.add(
                        new StoredObject(
                                node.required("key").asText(),
                                node.required("version").asLong(),
                                value));
            }
            return new WatchBatch(root.required("revision").asLong(), objects);
        } catch (IOException | IllegalArgumentException e) {
            throw new PlatformException(
                    Kind.MALFORMED_RESPONSE, operation, mUrl, "cannot parse response", e);
        }
    }
}
