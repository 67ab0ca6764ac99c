package org.oriolewind.node.call;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.oriolewind.config.JsonFormat;
import org.oriolewind.request.CallAnswers;
import org.oriolewind.request.CallResult;
import org.oriolewind.request.CallerCall;
import org.oriolewind.time.NodeClock;
import org.oriolewind.wire.CallAnswer;
import org.oriolewind.wire.CallOutcome;
import org.oriolewind.wire.Header;
import org.oriolewind.wire.NotRunReason;

/**
 * Handles requests of callers. A bad request is answered with a 4xx status, or 508 for too many
 * hops, before anything is done; every answer states in a header whether the call was run. The
 * texts of the answers are part of the interface to callers. Thread-safe.
 */
final class CallerHandler extends Handler.Abstract.NonBlocking {
    private static final int MAX_KEY_CHARS = 200;
    private static final int MAX_TIMEOUT_MILLIS = 600_000;
    private static final int MAX_HOPS = 64;

    private final BiConsumer<CallerCall, Consumer<CallResult>> mDispatcher;
    private final NodeClock mClock;
    private final BooleanSupplier mReady;
    private final BooleanSupplier mShuttingDown;
    private final CallerLimits mLimits;
    private final AtomicInteger mOpenCalls = new AtomicInteger();

    CallerHandler(
            BiConsumer<CallerCall, Consumer<CallResult>> dispatcher,
            NodeClock clock,
            BooleanSupplier ready,
            BooleanSupplier shuttingDown,
            CallerLimits limits) {
        mDispatcher = dispatcher;
        mClock = clock;
        mReady = ready;
        mShuttingDown = shuttingDown;
        mLimits = limits;
    }

    /** Returns the number of calls whose answers are not completely written. */
    int openCalls() {
        return mOpenCalls.get();
    }

    /** Status and reason of the answer to a request that is rejected. */
    private record BadRequest(int status, String problem) {}

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        mOpenCalls.incrementAndGet();
        Callback counted = Callback.from(callback, mOpenCalls::decrementAndGet);
        Optional<BadRequest> bad = check(request);
        if (bad.isPresent()) {
            refuse(response, counted, bad.get());
            return true;
        }
        if (!mReady.getAsBoolean()) {
            write(
                    response,
                    counted,
                    CallResult.ended(
                            CallAnswers.notRun(NotRunReason.NOT_RUN_REASON_LEAVING),
                            Optional.empty()));
            return true;
        }
        new BodyReader(
                        request,
                        mLimits.maxBodyBytes(),
                        body -> onBody(request, response, counted, body))
                .read();
        return true;
    }

    private void onBody(
            Request request, Response response, Callback callback, Optional<ByteString> body) {
        if (body.isEmpty() || mayBeCut(request)) {
            String problem = "body can't be read or is over the limit";
            refuse(response, callback, new BadRequest(413, problem));
            return;
        }
        CallerCall call = toCall(request, body.get());
        mDispatcher.accept(call, result -> write(response, callback, result));
    }

    /**
     * Returns whether the body ended with the connection. Jetty takes some chunked bodies for
     * complete that were cut before their last chunk; a complete one ends before the end is read.
     */
    private static boolean mayBeCut(Request request) {
        return request.getHeaders().contains(HttpHeader.TRANSFER_ENCODING)
                && request.getConnectionMetaData().getConnection().getEndPoint().isInputShutdown();
    }

    private Optional<BadRequest> check(Request request) {
        String path = Request.getPathInContext(request);
        if (!path.startsWith("/") || path.contains("/../") || path.endsWith("/..")) {
            return Optional.of(new BadRequest(400, "path must be absolute and without '..'"));
        }
        HttpMethod method = HttpMethod.fromString(request.getMethod());
        if (method == null || method == HttpMethod.CONNECT || method == HttpMethod.TRACE) {
            return Optional.of(new BadRequest(405, "method is not served"));
        }
        if (request.getLength() > mLimits.maxBodyBytes()) {
            return Optional.of(
                    new BadRequest(413, "body is over " + mLimits.maxBodyBytes() + " bytes"));
        }
        if (!inRange(request, CallHeaders.TIMEOUT_MILLIS, 1, MAX_TIMEOUT_MILLIS)) {
            return Optional.of(
                    new BadRequest(400, CallHeaders.TIMEOUT_MILLIS + " must be 1 to 600000"));
        }
        if (!inRange(request, CallHeaders.HOPS, 0, MAX_HOPS)) {
            return Optional.of(new BadRequest(400, CallHeaders.HOPS + " must be 0 to " + MAX_HOPS));
        }
        if (number(request, CallHeaders.HOPS).orElse(0) >= mLimits.maxHops()) {
            return Optional.of(new BadRequest(508, "call passed too many services"));
        }
        String key = request.getHeaders().get(CallHeaders.IDEMPOTENCY_KEY);
        if (key != null && (key.isBlank() || key.length() > MAX_KEY_CHARS)) {
            return Optional.of(
                    new BadRequest(400, CallHeaders.IDEMPOTENCY_KEY + " must be 1 to 200 letters"));
        }
        return Optional.empty();
    }

    private static boolean inRange(Request request, String name, int min, int max) {
        if (request.getHeaders().get(name) == null) {
            return true;
        }
        Optional<Integer> value = number(request, name);
        return value.isPresent() && value.get() >= min && value.get() <= max;
    }

    private static Optional<Integer> number(Request request, String name) {
        String text = request.getHeaders().get(name);
        try {
            return text == null ? Optional.empty() : Optional.of(Integer.parseInt(text));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    private CallerCall toCall(Request request, ByteString body) {
        List<Header> headers = new ArrayList<>();
        for (HttpField field : request.getHeaders()) {
            if (BackendClient.isForwarded(field) && !isProductHeader(field.getName())) {
                headers.add(BackendClient.header(field));
            }
        }
        int timeoutMillis =
                number(request, CallHeaders.TIMEOUT_MILLIS).orElse(mLimits.callTimeoutMillis());
        String id = request.getHeaders().get(CallHeaders.CALL);
        return new CallerCall(
                id == null || id.isBlank() ? UUID.randomUUID().toString() : id,
                request.getMethod(),
                Request.getPathInContext(request),
                request.getHttpURI().getPathQuery(),
                headers,
                body,
                mClock.monotonicMillis() + timeoutMillis,
                number(request, CallHeaders.HOPS).orElse(0),
                Optional.ofNullable(request.getHeaders().get(CallHeaders.IDEMPOTENCY_KEY)));
    }

    private static boolean isProductHeader(String name) {
        return name.equalsIgnoreCase(CallHeaders.TIMEOUT_MILLIS)
                || name.equalsIgnoreCase(CallHeaders.HOPS)
                || name.equalsIgnoreCase(CallHeaders.CALL);
    }

    private void refuse(Response response, Callback callback, BadRequest bad) {
        response.getHeaders().put(CallHeaders.OUTCOME, "not-run");
        // The rest of the body is not read, so the connection cannot be reused.
        response.getHeaders().put(HttpHeader.CONNECTION, "close");
        writeJson(response, callback, bad.status(), new Problem("bad-request", bad.problem()));
    }

    private void write(Response response, Callback callback, CallResult result) {
        if (mShuttingDown.getAsBoolean()) {
            response.getHeaders().put(HttpHeader.CONNECTION, "close");
        }
        if (result.kind() == CallResult.Kind.NO_ROUTE) {
            response.getHeaders().put(CallHeaders.OUTCOME, "not-run");
            writeJson(response, callback, 404, new Problem("no-route", result.detail()));
            return;
        }
        result.version().ifPresent(v -> response.getHeaders().put(CallHeaders.VERSION, v));
        CallAnswer answer = result.answer();
        if (answer.getOutcome() == CallOutcome.CALL_OUTCOME_ANSWERED) {
            writeAnswer(response, callback, answer);
        } else if (answer.getOutcome() == CallOutcome.CALL_OUTCOME_NOT_RUN) {
            String reason =
                    answer.getNotRunReason()
                            .name()
                            .substring("NOT_RUN_REASON_".length())
                            .toLowerCase()
                            .replace('_', '-');
            response.getHeaders().put(CallHeaders.OUTCOME, "not-run");
            response.getHeaders().put(CallHeaders.REASON, reason);
            response.getHeaders().put(HttpHeader.RETRY_AFTER, "1");
            writeJson(response, callback, 503, new Problem(reason, "the call was not run"));
        } else {
            response.getHeaders().put(CallHeaders.OUTCOME, "unknown");
            writeJson(
                    response,
                    callback,
                    504,
                    new Problem("unknown", "the call was handed over and its end is not known"));
        }
    }

    private void writeAnswer(Response response, Callback callback, CallAnswer answer) {
        response.setStatus(answer.getStatus());
        for (Header header : answer.getHeadersList()) {
            response.getHeaders().add(header.getName(), header.getValue());
        }
        response.getHeaders().put(CallHeaders.OUTCOME, "answered");
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, answer.getBody().size());
        response.write(true, answer.getBody().asReadOnlyByteBuffer(), callback);
    }

    /**
     * JSON body of an answer that the node itself gives. The names of the components are JSON keys.
     */
    private record Problem(String reason, String detail) {}

    private static void writeJson(
            Response response, Callback callback, int status, Problem problem) {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        byte[] json =
                JsonFormat.mapper()
                        .valueToTree(problem)
                        .toString()
                        .getBytes(StandardCharsets.UTF_8);
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, json.length);
        response.write(true, ByteBuffer.wrap(json), callback);
    }
}
