package org.oriolewind.node.call;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.oriolewind.node.http.ResponseSyntax;
import org.oriolewind.request.BackendCallSender;
import org.oriolewind.request.Cancellable;
import org.oriolewind.wire.CallRequest;
import org.oriolewind.wire.Header;

/**
 * Forwards calls over HTTP to the backend server beside this node. Thread-safe.
 *
 * <p>Invariant: a connection is not reused after a refusal that doesn't repeat the call's ID, since
 * a second copy of it could be taken for the answer to the next call.
 */
final class BackendClient implements BackendCallSender {
    private static final Set<String> HOP_BY_HOP_HEADERS =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "host",
                    "content-length",
                    "expect");

    private final HttpClient mClient;
    private final String mBaseUrl;
    private final int mMaxBodyBytes;

    BackendClient(HttpClient client, String address, int maxBodyBytes) {
        mClient = client;
        mBaseUrl = "http://" + address;
        mMaxBodyBytes = maxBodyBytes;
    }

    static boolean isHopByHopHeader(String name) {
        return HOP_BY_HOP_HEADERS.contains(name.toLowerCase(java.util.Locale.ROOT));
    }

    @Override
    public Cancellable send(CallRequest call, long timeoutMillis, Listener listener) {
        Request request = mClient.newRequest(mBaseUrl + call.getPath());
        request.method(call.getMethod());
        request.headers(
                headers -> {
                    for (Header header : call.getHeadersList()) {
                        headers.add(header.getName(), header.getValue());
                    }
                    headers.put(CallHeaders.TIMEOUT_MILLIS, Long.toString(timeoutMillis));
                    headers.put(CallHeaders.HOPS, Integer.toString(call.getHops()));
                    headers.put(CallHeaders.CALL, call.getCallId());
                });
        if (!call.getBody().isEmpty()) {
            request.body(new BytesRequestContent((String) null, call.getBody().toByteArray()));
        }
        request.timeout(timeoutMillis, TimeUnit.MILLISECONDS);
        ResponseCollector collector =
                new ResponseCollector(call.getCallId(), mMaxBodyBytes, listener);
        request.onRequestBegin(r -> collector.mSendStarted = true);
        request.onResponseSuccess(collector::closeUnlessReusable);
        request.send(collector);
        return () -> request.abort(new java.util.concurrent.CancellationException("cancelled"));
    }

    /** Buffers one response and reports it to the listener once it is complete. */
    private static final class ResponseCollector extends BufferingResponseListener {
        private final String mCallId;
        private final Listener mListener;
        private volatile boolean mSendStarted;

        ResponseCollector(String callId, int maxBytes, Listener listener) {
            super(maxBytes);
            mCallId = callId;
            mListener = listener;
        }

        /** Returns whether a response repeats the ID of another call. */
        private boolean isOfOtherCall(Response response) {
            List<String> ids = response.getHeaders().getValuesList(CallHeaders.CALL);
            return !ids.stream().allMatch(mCallId::equals);
        }

        /** Jetty accepts responses that consist of the start of one and the rest of another. */
        private static boolean isMalformed(Response response) {
            String reason = response.getReason();
            return !ResponseSyntax.isValidStatus(response.getStatus())
                    || reason != null && ResponseSyntax.containsStatusLine(reason)
                    || containsStatusLine(response.getHeaders())
                    || response.getTrailers() != null && containsStatusLine(response.getTrailers());
        }

        private static boolean containsStatusLine(HttpFields fields) {
            return fields.stream()
                    .map(HttpField::getValue)
                    .anyMatch(v -> v != null && ResponseSyntax.containsStatusLine(v));
        }

        void closeUnlessReusable(Response response) {
            boolean unidentifiedRefusal =
                    response.getHeaders().contains(CallHeaders.NOT_RUN)
                            && !response.getHeaders().contains(CallHeaders.CALL);
            if (unidentifiedRefusal || isOfOtherCall(response) || isMalformed(response)) {
                response.getRequest().getConnection().close();
            }
        }

        @Override
        public void onComplete(Result result) {
            if (result.isSucceeded()) {
                onResponse(result.getResponse());
                return;
            }
            mListener.onFailure(
                    mSendStarted,
                    result.getFailure() instanceof TimeoutException,
                    String.valueOf(result.getFailure()));
        }

        private void onResponse(Response response) {
            if (isMalformed(response)) {
                mListener.onFailure(true, false, "malformed response");
                return;
            }
            if (isOfOtherCall(response)) {
                mListener.onFailure(true, false, "response names another call");
                return;
            }
            String notRun = response.getHeaders().get(CallHeaders.NOT_RUN);
            if (notRun != null) {
                mListener.onRefused(notRun.equals(CallHeaders.DRAINING));
                return;
            }
            List<Header> headers = new ArrayList<>();
            for (HttpField field : response.getHeaders()) {
                if (isForwarded(field)) {
                    headers.add(header(field));
                }
            }
            byte[] body = getContent();
            mListener.onAnswer(
                    response.getStatus(),
                    headers,
                    body == null ? ByteString.EMPTY : UnsafeByteOperations.unsafeWrap(body));
        }
    }

    static Header header(HttpField field) {
        return Header.newBuilder().setName(field.getName()).setValue(field.getValue()).build();
    }

    static boolean isForwarded(HttpField field) {
        return field.getValue() != null
                && field.getHeader() != HttpHeader.CONTENT_LENGTH
                && !isHopByHopHeader(field.getName());
    }
}
