package org.oriolewind.node.peer;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import org.oriolewind.wire.Frame;

/**
 * Sets up channels that carry protobuf frames, each prefixed with its length in four bytes.
 * Stateless.
 */
final class FrameCodecs {
    /**
     * Maximum size of a frame. A snapshot may have 1 MB, and the members of a large fleet must also
     * fit.
     */
    static final int MAX_FRAME_BYTES = 4 * 1024 * 1024;

    private static final int LENGTH_BYTES = 4;

    private FrameCodecs() {}

    static void addCodecs(ChannelPipeline pipeline) {
        pipeline.addLast(
                new LengthFieldBasedFrameDecoder(
                        MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
        pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
        pipeline.addLast(new ProtobufDecoder(Frame.getDefaultInstance()));
        pipeline.addLast(new ProtobufEncoder());
    }
}
