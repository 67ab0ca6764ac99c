package org.oriolewind.dispatch;

import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.oriolewind.placement.Placement;
import org.oriolewind.placement.RepeatBudget;
import org.oriolewind.placement.SplitChooser;
import org.oriolewind.policy.OperatorView;
import org.oriolewind.request.CallServer;
import org.oriolewind.request.PeerPort;
import org.oriolewind.time.NodeClock;
import org.oriolewind.time.Timers;
import org.oriolewind.trial.TrialBook;

/**
 * Collaborators that all requests of one node share.
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
        OperatorView documents,
        Placement nodeSelector,
        SplitChooser serviceSelector,
        RepeatBudget retryBudget,
        TrialBook rollouts,
        CallServer localServer,
        PeerPort peers,
        RequestLog log) {}
