package org.oriolewind.node.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.oriolewind.node.peer.PeerMetrics;
import org.oriolewind.node.peer.PeerTransport;
import org.oriolewind.request.CallAnswers;
import org.oriolewind.time.FakeClock;
import org.oriolewind.wire.CallAnswer;
import org.oriolewind.wire.CallOutcome;
import org.oriolewind.wire.CallRequest;
import org.oriolewind.wire.DocumentSet;
import org.oriolewind.wire.Frame;
import org.oriolewind.wire.Member;
import org.oriolewind.wire.NodeStatus;
import org.oriolewind.wire.NotRunReason;

/** A link to a node that accepts the connection and writes only the frames of the test. */
class PeerLinksTest {
    private static final int TIMEOUT_MILLIS = 10_000;
    private static final int BODY_BYTES = 300_000;
    private static final int PART_BYTES = 10_000;
    private static final NodeStatus STATUS =
            NodeStatus.newBuilder().setNode("a").setDataCentre("dc1").build();

    private final FakeClock mClock = new FakeClock();
    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final List<String> mUnresponsive = new ArrayList<>();
    private final List<CallAnswer> mAnswers = new ArrayList<>();
    private final Semaphore mDocumentSets = new Semaphore(0);
    private ServerSocket mServer;
    private String mAddress;
    private Socket mSocket;
    private PeerLinks mLinks;

    @BeforeEach
    void connect() throws Exception {
        mServer = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        mServer.setSoTimeout(TIMEOUT_MILLIS);
        mAddress = "127.0.0.1:" + mServer.getLocalPort();
        Member self = Member.newBuilder().setNode("a").setPeerAddress("127.0.0.1:1").build();
        mLinks =
                new PeerLinks(
                        self,
                        mClock,
                        new PeerTransport(mGroup, new PeerMetrics(new MetricRegistry())),
                        (request, done) -> () -> {},
                        new Listener());
        onLoop(
                () -> {
                    mLinks.addPeer(mAddress);
                    return null;
                });
        mSocket = mServer.accept();
        mSocket.setSoTimeout(TIMEOUT_MILLIS);
        assertTrue(readFrame().hasHello());
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        while (!onLoop(() -> mLinks.isConnected(mAddress))) {
            assertTrue(System.nanoTime() < end, "link must open");
            Thread.sleep(10);
        }
    }

    @AfterEach
    void close() throws IOException {
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        mSocket.close();
        mServer.close();
    }

    private final class Listener implements PeerLinks.FrameListener {
        @Override
        public void onStatus(NodeStatus status) {
            // The silent node sends none.
        }

        @Override
        public void onPeerUnresponsive(String address) {
            mUnresponsive.add(address);
        }

        @Override
        public List<Frame> onPull(List<String> kinds) {
            return List.of();
        }

        @Override
        public void onDocuments(String peer, Frame frame) {
            mDocumentSets.release();
        }
    }

    private <T> T onLoop(Callable<T> action) throws Exception {
        return mGroup.next().submit(action).get();
    }

    private Frame readFrame() throws IOException {
        DataInputStream in = new DataInputStream(mSocket.getInputStream());
        byte[] frame = new byte[in.readInt()];
        in.readFully(frame);
        return Frame.parseFrom(frame);
    }

    private void writeFrame(Frame frame) throws IOException {
        DataOutputStream out = new DataOutputStream(mSocket.getOutputStream());
        out.writeInt(frame.getSerializedSize());
        frame.writeTo(out);
        out.flush();
    }

    /** Answers a ping; returns once the link has received the answer. */
    private void answerPing() throws Exception {
        writeFrame(Frame.newBuilder().setNodeStatus(NodeStatus.getDefaultInstance()).build());
        // Unlike a status, a document set is passed on to the listener.
        writeFrame(Frame.newBuilder().setDocumentSet(DocumentSet.getDefaultInstance()).build());
        assertTrue(mDocumentSets.tryAcquire(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    }

    private void tickAfter(long millis) throws Exception {
        mClock.advanceMillis(millis);
        onLoop(
                () -> {
                    mLinks.tick();
                    return null;
                });
    }

    private void call() throws Exception {
        CallRequest request = CallRequest.newBuilder().setTimeoutMillis(60_000).build();
        onLoop(() -> mLinks.send(mAddress, request, mAnswers::add));
    }

    private void broadcast(Set<String> skipped) throws Exception {
        onLoop(
                () -> {
                    mLinks.broadcastStatus(STATUS, STATUS, skipped);
                    return null;
                });
    }

    private static boolean isPing(Frame frame) {
        return frame.hasNodeStatus() && frame.getNodeStatus().getNode().isEmpty();
    }

    @Test
    void unansweredPingWithACallOutstandingTurnsFurtherCallsAway() throws Exception {
        call();
        assertTrue(readFrame().hasCallRequest());
        tickAfter(250);
        assertTrue(isPing(readFrame()));
        tickAfter(400);
        assertEquals(List.of(mAddress), mUnresponsive);
        call();
        assertEquals(NotRunReason.NOT_RUN_REASON_UNREACHABLE, mAnswers.get(0).getNotRunReason());
        assertTrue(onLoop(() -> mLinks.isConnected(mAddress)));
        tickAfter(2200);
        assertEquals(-1, mSocket.getInputStream().read());
    }

    /** Guards against calls that are given up although their peer answers each ping at once. */
    @Test
    void pingAnsweredWithinTheSameMillisecondIsNotUnanswered() throws Exception {
        call();
        assertTrue(readFrame().hasCallRequest());
        for (int i = 0; i < 3; i++) {
            tickAfter(250);
            assertTrue(isPing(readFrame()));
            answerPing();
            tickAfter(200);
        }
        tickAfter(50);
        assertTrue(isPing(readFrame()));
        assertEquals(List.of(), mUnresponsive);
    }

    private void pingIdle(long idleMillis, boolean selected) throws Exception {
        onLoop(
                () -> {
                    mLinks.pingIdle(idleMillis, address -> selected);
                    return null;
                });
    }

    @Test
    void idleLinkIsPingedOnceAndClosedIfThePingIsUnanswered() throws Exception {
        tickAfter(900);
        pingIdle(1000, true);
        tickAfter(100);
        pingIdle(1000, false);
        broadcast(Set.of());
        pingIdle(1000, true);
        pingIdle(1000, true);
        assertEquals("a", readFrame().getNodeStatus().getNode());
        assertTrue(isPing(readFrame()));
        tickAfter(2600);
        // A second ping would be read here.
        assertEquals(-1, mSocket.getInputStream().read());
        assertEquals(List.of(), mUnresponsive);
    }

    @Test
    void skippedNodeGetsOnlyItsFirstStatus() throws Exception {
        broadcast(Set.of(mAddress));
        broadcast(Set.of(mAddress));
        call();
        assertEquals("a", readFrame().getNodeStatus().getNode());
        assertTrue(readFrame().hasCallRequest());
    }

    private void awaitAnswers(int count) throws Exception {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        while (onLoop(mAnswers::size) < count) {
            assertTrue(System.nanoTime() < end, "call must end");
            Thread.sleep(10);
        }
    }

    private static byte[] answerFrame(long stream) throws IOException {
        Frame frame =
                Frame.newBuilder()
                        .setCallAnswer(
                                CallAnswer.newBuilder()
                                        .setStream(stream)
                                        .setOutcome(CallOutcome.CALL_OUTCOME_ANSWERED)
                                        .setStatus(200)
                                        .setBody(ByteString.copyFrom(new byte[BODY_BYTES])))
                        .build();
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeInt(frame.getSerializedSize());
        frame.writeTo(out);
        return bytes.toByteArray();
    }

    /** Guards against an answer with a part of its body, or of a call whose link has ended. */
    @ParameterizedTest
    @CsvSource({
        "false, 0",
        "false, 3",
        "false, 4",
        "false, 200000",
        "false, 300000",
        "true, 0",
        "true, 200000",
        "true, 300000"
    })
    void callWhoseAnswerIsCutEndsAsUnknown(boolean reset, int bytes) throws Exception {
        call();
        long stream = readFrame().getCallRequest().getStream();
        mSocket.getOutputStream().write(answerFrame(stream), 0, bytes);
        if (reset) {
            mSocket.setSoLinger(true, 0);
        }
        mSocket.close();
        awaitAnswers(1);
        assertEquals(List.of(CallAnswers.unknown()), mAnswers);
    }

    @Test
    void answerThatArrivesInPartsIsWhole() throws Exception {
        call();
        long stream = readFrame().getCallRequest().getStream();
        byte[] frame = answerFrame(stream);
        for (int start = 0; start < frame.length; start += PART_BYTES) {
            int bytes = Math.min(PART_BYTES, frame.length - start);
            mSocket.getOutputStream().write(frame, start, bytes);
            Thread.sleep(1);
        }
        awaitAnswers(1);
        assertEquals(BODY_BYTES, mAnswers.get(0).getBody().size());
        mSocket.close();
        assertEquals(1, mAnswers.size());
    }
}
