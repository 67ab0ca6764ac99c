package org.oriolewind.node.peer;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import org.oriolewind.wire.Frame;

/** Sets up channels that carry frames, each with its length in four bytes before it. */
final class FrameCodecs {
    /** The largest frame: a snapshot of a megabyte, or the members of a large fleet. */
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
