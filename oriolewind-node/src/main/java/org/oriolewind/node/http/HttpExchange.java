package org.oriolewind.node.http;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** One request and its outcome. Invariant: it ends exactly once. Confined to the event loop. */
final class HttpExchange {
    private final FullHttpRequest mRequest;
    private final HttpResponseListener mListener;
    private ScheduledFuture<?> mTimeout;
    private HttpConnection mConnection;
    private boolean mEnded;

    HttpExchange(FullHttpRequest request, HttpResponseListener listener) {
        mRequest = request;
        mListener = listener;
    }

    void setTimeout(EventLoop loop, long millis) {
        mTimeout = loop.schedule(() -> abort(true), millis, TimeUnit.MILLISECONDS);
    }

    FullHttpRequest request() {
        return mRequest;
    }

    boolean isEnded() {
        return mEnded;
    }

    void onSent(HttpConnection connection) {
        mConnection = connection;
    }

    Optional<String> requestId() {
        return mListener.requestId();
    }

    HttpResponseListener.Match match(FullHttpResponse response) {
        return mListener.match(response);
    }

    void abort(boolean timedOut) {
        if (mEnded) {
            return;
        }
        boolean sent = mConnection != null;
        end();
        if (sent) {
            mConnection.close();
        }
        mListener.onFailure(
                sent, timedOut, timedOut ? "no response before the timeout" : "cancelled");
    }

    void fail(boolean sent, String reason) {
        if (!mEnded) {
            end();
            mListener.onFailure(sent, false, reason);
        }
    }

    void succeed(FullHttpResponse response, HttpResponseListener.End end) {
        if (!mEnded) {
            end();
            mListener.onResponse(response, end);
        }
    }

    private void end() {
        mEnded = true;
        mTimeout.cancel(false);
        if (mConnection == null) {
            mRequest.release();
        }
    }
}
