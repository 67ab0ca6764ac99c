package org.oriolewind.node.peer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;

/** Metrics of the connections between nodes. Safe for use by several threads. */
public final class PeerMeters {
    private final Counter mOpen;
    private final Counter mStrangers;
    private final Counter mDamaged;
    private final Meter mReceivedBytes;

    /**
     * Creates the metrics.
     *
     * @param registry the registry to enter them in
     */
    public PeerMeters(MetricRegistry registry) {
        mOpen = registry.counter("peer.connections.open");
        mStrangers = registry.counter("peer.connections.strangers");
        mDamaged = registry.counter("peer.frames.damaged");
        mReceivedBytes = registry.meter("peer.received.bytes");
    }

    void onOpened() {
        mOpen.inc();
    }

    void onClosed() {
        mOpen.dec();
    }

    void onStranger() {
        mStrangers.inc();
    }

    void onDamaged() {
        mDamaged.inc();
    }

    void onReceived(int bytes) {
        mReceivedBytes.mark(bytes);
    }
}
