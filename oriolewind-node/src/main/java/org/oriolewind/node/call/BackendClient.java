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
import org.eclipse.jetty.http.HttpHeader;
import org.oriolewind.request.BackendCallSender;
import org.oriolewind.request.Cancellable;
import org.oriolewind.wire.CallRequest;
import org.oriolewind.wire.Header;

/**
 * Hands calls to the backend server beside this node over HTTP. Safe for use by several threads.
 */
final class BackendClient implements BackendCallSender {
    private static final Set<String> HOP_HEADERS =
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

    static boolean isHopHeader(String name) {
        return HOP_HEADERS.contains(name.toLowerCase(java.util.Locale.ROOT));
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
        Completion completion = new Completion(mMaxBodyBytes, listener);
        request.onRequestBegin(r -> completion.mBegun = true);
        request.send(completion);
        return () -> request.abort(new java.util.concurrent.CancellationException("cancelled"));
    }

    /** Gathers one answer whole. */
    private static final class Completion extends BufferingResponseListener {
        private final Listener mListener;
        private volatile boolean mBegun;

        Completion(int maxBytes, Listener listener) {
            super(maxBytes);
            mListener = listener;
        }

        @Override
        public void onComplete(Result result) {
            if (result.isSucceeded()) {
                onWhole(result.getResponse());
                return;
            }
            mListener.onFailure(mBegun, result.getFailure() instanceof TimeoutException);
        }

        private void onWhole(Response response) {
            String refusal = response.getHeaders().get(CallHeaders.NOT_RUN);
            if (refusal != null) {
                mListener.onRefused(refusal.equals(CallHeaders.DRAINING));
                return;
            }
            List<Header> headers = new ArrayList<>();
            for (HttpField field : response.getHeaders()) {
                if (passesOn(field)) {
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

    static boolean passesOn(HttpField field) {
        return field.getValue() != null
                && field.getHeader() != HttpHeader.CONTENT_LENGTH
                && !isHopHeader(field.getName());
    }
}
