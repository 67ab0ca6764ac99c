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
 * What all parts of a node share. Immutable; its parts are safe for use by several threads.
 *
 * @param self this node's entry at the start
 * @param clock the clock
 * @param hybrid the clock for events
 * @param config the configuration in force
 * @param events takes events
 * @param registry takes metrics
 * @param transport connections to other nodes
 * @param httpClient connections to the backend server and the platform
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
