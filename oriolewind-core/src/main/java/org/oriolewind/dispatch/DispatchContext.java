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
 * What the requests of a node share.
 *
 * @param node this node's name
 * @param callerService the service beside this node
 * @param clock the clock
 * @param timers runs things later
 * @param random source of choices
 * @param view the operators' documents
 * @param placement chooses nodes
 * @param splits deals requests to the parts of routes
 * @param budget bounds repeats
 * @param trials the trials of versions
 * @param local serves calls for the backend server beside this node
 * @param peers the way to other nodes
 * @param log takes what is decided
 */
public record DispatchContext(
        String node,
        Supplier<String> callerService,
        NodeClock clock,
        Timers timers,
        RandomGenerator random,
        OperatorDocumentCache view,
        NodeSelector placement,
        WeightedServiceSelector splits,
        ServiceRetryBudget budget,
        RolloutTracker trials,
        CallServer local,
        PeerCallSender peers,
        RequestLog log) {}
