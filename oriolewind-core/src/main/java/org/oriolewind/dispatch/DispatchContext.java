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
        OperatorView view,
        Placement placement,
        SplitChooser splits,
        RepeatBudget budget,
        TrialBook trials,
        CallServer local,
        PeerPort peers,
        RequestLog log) {}
