package org.oriolewind.node.peer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import org.oriolewind.wire.Frame;

/** Metrics of the connections between nodes. Thread-safe. */
public final class PeerMetrics {
    private final Counter mOpen;
    private final Counter mRejected;
    private final Counter mMalformedFrames;
    private final Meter mReceivedBytes;
    private final Counter mSentCallBytes;
    private final Counter mSentStatusBytes;
    private final Counter mSentDocumentBytes;
    private final Counter mSentOtherBytes;

    /** Registers the metrics, or shares those that the registry already holds. */
    public PeerMetrics(MetricRegistry registry) {
        mOpen = registry.counter("peer.connections.open");
        mRejected = registry.counter("peer.connections.strangers");
        mMalformedFrames = registry.counter("peer.frames.damaged");
        mReceivedBytes = registry.meter("peer.received.bytes");
        mSentCallBytes = registry.counter("peer_sent_bytes_total{kind=\"calls\"}");
        mSentStatusBytes = registry.counter("peer_sent_bytes_total{kind=\"statuses\"}");
        mSentDocumentBytes = registry.counter("peer_sent_bytes_total{kind=\"documents\"}");
        mSentOtherBytes = registry.counter("peer_sent_bytes_total{kind=\"other\"}");
    }

    void onOpened() {
        mOpen.inc();
    }

    void onClosed() {
        mOpen.dec();
    }

    void onRejected() {
        mRejected.inc();
    }

    void onMalformedFrame() {
        mMalformedFrames.inc();
    }

    void onSent(Frame frame) {
        Counter counter =
                switch (frame.getBodyCase()) {
                    case CALL_REQUEST, CALL_ANSWER -> mSentCallBytes;
                    case NODE_STATUS -> mSentStatusBytes;
                    case DOCUMENT_SET -> mSentDocumentBytes;
                    default -> mSentOtherBytes;
                };
        counter.inc(frame.getSerializedSize());
    }

    void onReceived(int bytes) {
        mReceivedBytes.mark(bytes);
    }
}
