package org.oriolewind.node.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.oriolewind.wire.CallAnswer;
import org.oriolewind.wire.CallRequest;
import org.oriolewind.wire.Frame;
import org.oriolewind.wire.Hello;
import org.oriolewind.wire.LinkPurpose;
import org.oriolewind.wire.Member;

/** Frames that arrive in parts, or of which only a part arrives before the connection ends. */
class PeerHandlerTest {
    private static final int LENGTH_BYTES = 4;
    private static final ByteString BODY = ByteString.copyFromUtf8("a body of some bytes");
    private static final Frame HELLO =
            Frame.newBuilder()
                    .setHello(
                            Hello.newBuilder()
                                    .setPurpose(LinkPurpose.LINK_PURPOSE_CALLS)
                                    .setSelf(Member.newBuilder().setNode("n1")))
                    .build();
    private static final Frame REQUEST =
            Frame.newBuilder()
                    .setCallRequest(CallRequest.newBuilder().setStream(1).setBody(BODY))
                    .build();
    private static final Frame ANSWER =
            Frame.newBuilder()
                    .setCallAnswer(CallAnswer.newBuilder().setStream(1).setBody(BODY))
                    .build();

    private final List<Frame> mFrames = new ArrayList<>();
    private int mClosed;

    private final class Listener implements PeerListener {
        @Override
        public void onHello(PeerConnection connection, Frame frame) {
            // Only the frames after the hello are checked.
        }

        @Override
        public void onFrame(PeerConnection connection, Frame frame) {
            mFrames.add(frame);
        }

        @Override
        public void onClosed(PeerConnection connection) {
            mClosed++;
        }
    }

    /** Opens a connection that another node (accepted) or this node has opened. */
    private EmbeddedChannel open(boolean accepted) {
        EmbeddedChannel channel = new EmbeddedChannel();
        FrameCodecs.addCodecs(channel.pipeline());
        PeerMetrics metrics = new PeerMetrics(new MetricRegistry());
        channel.pipeline().addLast(new PeerHandler(new Listener(), metrics, 1, accepted));
        if (accepted) {
            channel.writeInbound(bytes(HELLO));
        }
        return channel;
    }

    private static ByteBuf bytes(Frame frame) {
        byte[] message = frame.toByteArray();
        return Unpooled.buffer(LENGTH_BYTES + message.length)
                .writeInt(message.length)
                .writeBytes(message);
    }

    /** Guards against a call or an answer that is taken for whole with a part of its body. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void frameThatIsCutByTheEndOfTheConnectionIsDropped(boolean accepted) {
        ByteBuf frame = bytes(accepted ? REQUEST : ANSWER);
        for (int length = 0; length < frame.readableBytes(); length++) {
            EmbeddedChannel channel = open(accepted);
            channel.writeInbound(frame.copy(0, length));
            channel.finishAndReleaseAll();
            assertEquals(List.of(), mFrames, "after " + length + " bytes");
            assertEquals(length + 1, mClosed);
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void frameThatArrivesInPartsIsWhole(boolean accepted) {
        Frame expected = accepted ? REQUEST : ANSWER;
        ByteBuf frame = bytes(expected);
        EmbeddedChannel channel = open(accepted);
        for (int split = 1; split < frame.readableBytes(); split++) {
            channel.writeInbound(frame.copy(0, split));
            channel.writeInbound(frame.copy(split, frame.readableBytes() - split));
            assertEquals(List.of(expected), mFrames, "split after " + split + " bytes");
            mFrames.clear();
        }
        channel.finishAndReleaseAll();
        assertEquals(List.of(), mFrames);
    }
}
