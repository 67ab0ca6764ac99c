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

/** Takes the requests that begin at this node. Not safe for use by several threads. */
public final class RequestRouter {
    /** Time after which a node that has just started commonly knows the configuration. */
    private static final long NOT_READY_RETRY_MILLIS = 300;

    private final DispatchContext mContext;
    private final Set<RoutedRequest> mOpen = new LinkedHashSet<>();

    /**
     * Creates a router.
     *
     * @param context what requests share
     */
    public RequestRouter(DispatchContext context) {
        mContext = context;
    }

    /**
     * Dispatches a request.
     *
     * @param request the request
     * @param done called once with its end, unless it is cancelled
     * @return gives the request up, as its client is gone
     */
    public Cancellable dispatch(ClientRequest request, Consumer<ClientReply> done) {
        Optional<TrafficPolicy> policy = mContext.view().policy();
        if (policy.isEmpty()) {
            mContext.log().ended(request, "", "refused", () -> "no configuration is known", 0);
            done.accept(
                    new ClientReply.NotRun(
                            NotRunReason.NOT_RUN_REASON_UNREACHABLE, NOT_READY_RETRY_MILLIS));
            return () -> {};
        }
        Optional<TrafficRoute> route = policy.get().route(request.host(), request.path());
        if (route.isEmpty()) {
            String detail = "no route in configuration " + policy.get().version();
            mContext.log().ended(request, "", "not found", () -> detail, 0);
            done.accept(new ClientReply.NoRoute());
            return () -> {};
        }
        RoutedRequest routed =
                new RoutedRequest(
                        mContext,
                        policy.get().version(),
                        route.get(),
                        request,
                        done,
                        mOpen::remove);
        mOpen.add(routed);
        routed.start();
        return routed;
    }

    /**
     * Takes that a node gives no sign of life. Requests that wait for it and may run again are sent
     * elsewhere if the budget allows it; the others go on waiting.
     *
     * @param peerAddress its address
     */
    public void onPeerUnresponsive(String peerAddress) {
        for (RoutedRequest request : new ArrayList<>(mOpen)) {
            request.onPeerUnresponsive(peerAddress);
        }
    }
}
