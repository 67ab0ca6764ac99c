package org.oriolewind.node.call;

import com.codahale.metrics.MetricRegistry;
import org.eclipse.jetty.client.HttpClient;
import org.oriolewind.config.InstalledConfig;
import org.oriolewind.event.EventSink;
import org.oriolewind.node.peer.PeerTransport;
import org.oriolewind.time.HybridClock;
import org.oriolewind.time.NodeClock;
import org.oriolewind.wire.Member;

/**
 * Components that are shared within a node. Immutable; all components are thread-safe.
 *
 * @param self this node's member entry at startup
 * @param clock provides wall-clock and monotonic time
 * @param hybrid hybrid clock for the timestamps of events and frames
 * @param config provides the configuration in force
 * @param events receives the events of all components
 * @param registry registry of all metrics
 * @param transport connections to other nodes
 * @param httpClient HTTP client for the backend server and the platform
 */
public record NodeContext(
        Member self,
        NodeClock clock,
        HybridClock hybrid,
        InstalledConfig config,
        EventSink events,
        MetricRegistry registry,
        PeerTransport transport,
        HttpClient httpClient) {}
