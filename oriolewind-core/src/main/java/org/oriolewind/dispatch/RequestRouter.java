package org.oriolewind.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.oriolewind.policy.TrafficPolicy;
import org.oriolewind.policy.TrafficRoute;
import org.oriolewind.request.Cancellable;
import org.oriolewind.wire.NotRunReason;

/**
 * Routes the requests that enter the mesh at this node, and tracks them until they end. Not
 * thread-safe.
 */
public final class RequestRouter {
    /** A node that has just started usually has the configuration after this time. */
    private static final long NOT_READY_RETRY_AFTER_MILLIS = 300;

    /** Retry delay while this node shuts down; its clients are moved to other nodes. */
    private static final long SHUTDOWN_RETRY_AFTER_MILLIS = 300;

    private final DispatchContext mContext;
    private final Set<RoutedRequest> mOpenRequests = new LinkedHashSet<>();
    private long mShutdownMillis = Long.MAX_VALUE;

    /**
     * Creates a router without open requests.
     *
     * @param context collaborators that all requests share
     */
    public RequestRouter(DispatchContext context) {
        mContext = context;
    }

    /**
     * Ends all requests by the time at which this node shuts down: those that are open then get a
     * reply, and later ones are refused if they are not likely to end before.
     *
     * @param shutdownMillis monotonic time at which the last request must have ended
     */
    public void beginShutdown(long shutdownMillis) {
        mShutdownMillis = shutdownMillis - RoutedRequest.ANSWER_GRACE_MILLIS;
        long leftMillis = shutdownMillis - mContext.clock().monotonicMillis();
        mContext.timers().schedule(leftMillis, this::endOpenRequests);
    }

    private void endOpenRequests() {
        new ArrayList<>(mOpenRequests).forEach(RoutedRequest::abandon);
    }

    private boolean endsBeforeShutdown(TrafficRoute route) {
        long now = mContext.clock().monotonicMillis();
        return now + route.targetLatencyMillis() <= mShutdownMillis;
    }

    /**
     * Dispatches a request under the policy in force. Without a policy the request is refused as
     * not run; without a matching route the reply is {@link ClientReply.NoRoute}.
     *
     * @param done called once with the reply, possibly before this method returns; not called after
     *     a cancellation
     * @return cancels the request, for when its client has disconnected
     */
    public Cancellable dispatch(ClientRequest request, Consumer<ClientReply> done) {
        Optional<TrafficPolicy> policy = mContext.documents().policy();
        if (policy.isEmpty()) {
            mContext.log().ended(request, "", "refused", () -> "no configuration received yet", 0);
            done.accept(
                    new ClientReply.NotRun(
                            NotRunReason.NOT_RUN_REASON_UNREACHABLE, NOT_READY_RETRY_AFTER_MILLIS));
            return () -> {};
        }
        Optional<TrafficRoute> route = policy.get().route(request.host(), request.path());
        if (route.isEmpty()) {
            String detail = "no route in configuration " + policy.get().version();
            mContext.log().ended(request, "", "not found", () -> detail, 0);
            done.accept(new ClientReply.NoRoute());
            return () -> {};
        }
        if (!endsBeforeShutdown(route.get())) {
            mContext.log().ended(request, route.get().name(), "refused", () -> "shutting down", 0);
            done.accept(
                    new ClientReply.NotRun(
                            NotRunReason.NOT_RUN_REASON_LEAVING, SHUTDOWN_RETRY_AFTER_MILLIS));
            return () -> {};
        }
        RoutedRequest routed =
                new RoutedRequest(
                        mContext,
                        policy.get().version(),
                        route.get(),
                        request,
                        mShutdownMillis,
                        done,
                        mOpenRequests::remove);
        mOpenRequests.add(routed);
        routed.start();
        return routed;
    }

    /**
     * Handles a peer whose connection has become unresponsive. Idempotent requests that wait for
     * this peer are retried on another node if the retry budget allows it; all others keep waiting.
     *
     * @param peerAddress the peer's address
     */
    public void onPeerUnresponsive(String peerAddress) {
        for (RoutedRequest request : new ArrayList<>(mOpenRequests)) {
            request.onPeerUnresponsive(peerAddress);
        }
    }
}
