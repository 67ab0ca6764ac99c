package org.oriolewind.dispatch;

import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.oriolewind.loadbalancing.NodeSelector;
import org.oriolewind.loadbalancing.ServiceRetryBudget;
import org.oriolewind.loadbalancing.WeightedServiceSelector;
import org.oriolewind.policy.OperatorDocumentCache;
import org.oriolewind.request.CallServer;
import org.oriolewind.request.PeerCallSender;
import org.oriolewind.rollout.RolloutTracker;
import org.oriolewind.time.NodeClock;
import org.oriolewind.time.Timers;

/**
 * Collaborators that all requests of one node share. Immutable; the collaborators are used on one
 * thread.
 *
 * @param node this node's name
 * @param callerService returns the service of the backend server beside this node, which is sent as
 *     the caller of each call
 * @param clock measures deadlines and durations
 * @param timers schedules the timeout of each request
 * @param random source of jitter for retry delays
 * @param documents the operators' documents, including the traffic policy in force
 * @param nodeSelector selects the node that takes a call
 * @param serviceSelector splits the requests of a route between services by weight
 * @param retryBudget limits retries for each service
 * @param rollouts the rollouts in progress, which decide on versions and count outcomes
 * @param localServer serves calls for the backend server beside this node
 * @param peers sends calls to other nodes
 * @param log records retries and the end of each request
 */
public record DispatchContext(
        String node,
        Supplier<String> callerService,
        NodeClock clock,
        Timers timers,
        RandomGenerator random,
        OperatorDocumentCache documents,
        NodeSelector nodeSelector,
        WeightedServiceSelector serviceSelector,
        ServiceRetryBudget retryBudget,
        RolloutTracker rollouts,
        CallServer localServer,
        PeerCallSender peers,
        RequestLog log) {}
