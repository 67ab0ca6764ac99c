package org.oriolewind.node.call;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.oriolewind.request.CallResult;
import org.oriolewind.request.CallerCall;
import org.oriolewind.time.FakeClock;
import org.oriolewind.wire.CallAnswer;
import org.oriolewind.wire.CallOutcome;

/** Requests of callers that end before they are whole, and answers that can't be written whole. */
class CallerHandlerTest {
    private static final int TIMEOUT_MILLIS = 5000;

    /** Time in which a request that is wrongly taken for whole would be dispatched. */
    private static final int SETTLE_MILLIS = 200;

    /** More than the socket buffers of a connection hold. */
    private static final int ANSWER_BYTES = 32_000_000;

    private final Server mServer = new Server();
    private final ServerConnector mConnector = new ServerConnector(mServer);
    private final Semaphore mDispatched = new Semaphore(0);

    @BeforeEach
    void start() throws Exception {
        mConnector.setHost(InetAddress.getLoopbackAddress().getHostAddress());
        mServer.addConnector(mConnector);
        mServer.setHandler(
                new CallerHandler(
                        this::dispatch,
                        new FakeClock(),
                        () -> true,
                        () -> false,
                        new CallerLimits(1 << 20, TIMEOUT_MILLIS, 8, 8, 0.1, 0)));
        mServer.start();
    }

    @AfterEach
    void stop() throws Exception {
        mServer.stop();
    }

    private void dispatch(CallerCall call, Consumer<CallResult> done) {
        mDispatched.release();
        CallAnswer answer =
                CallAnswer.newBuilder()
                        .setOutcome(CallOutcome.CALL_OUTCOME_ANSWERED)
                        .setStatus(200)
                        .setBody(ByteString.copyFrom(new byte[ANSWER_BYTES]))
                        .build();
        done.accept(CallResult.ended(answer, Optional.empty()));
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), mConnector.getLocalPort());
        socket.setSoTimeout(TIMEOUT_MILLIS);
        return socket;
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** How the caller ends its request. */
    private enum End {
        CLOSE,
        RESET,
        HALF_CLOSE
    }

    private static Stream<Arguments> requests() {
        return Stream.of(
                        "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n12345",
                        "POST /x HTTP/1.0\r\nContent-Length: 5\r\n\r\n12345",
                        "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                                + "2\r\nok\r\n0\r\n\r\n")
                .flatMap(request -> Stream.of(End.values()).map(end -> Arguments.of(request, end)));
    }

    /** Guards against a call that is run with a part of its body. */
    @ParameterizedTest
    @MethodSource("requests")
    void requestThatEndsBeforeItsHeadOrBodyIsNotDispatched(String request, End end)
            throws Exception {
        for (int length = 0; length < request.length(); length++) {
            try (Socket socket = connect()) {
                write(socket, request.substring(0, length));
                if (end == End.HALF_CLOSE) {
                    socket.shutdownOutput();
                    socket.getInputStream().readAllBytes();
                } else if (end == End.RESET) {
                    socket.setSoLinger(true, 0);
                }
            }
        }
        assertFalse(mDispatched.tryAcquire(SETTLE_MILLIS, TimeUnit.MILLISECONDS));
        try (Socket socket = connect()) {
            write(socket, request);
            assertTrue(mDispatched.tryAcquire(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        }
    }

    /** Guards against half an answer that looks whole to its caller. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1", "HTTP/1.0"})
    void answerThatIsCutByAStopHasFewerBytesThanItStates(String version) throws Exception {
        try (Socket socket = connect()) {
            write(socket, "GET /x " + version + "\r\nHost: a\r\n\r\n");
            InputStream in = socket.getInputStream();
            ByteArrayOutputStream received = new ByteArrayOutputStream();
            received.write(in.readNBytes(1000));
            mServer.stop();
            try {
                in.transferTo(received);
            } catch (IOException e) {
                // A reset is no end in order either.
                received.flush();
            }
            String text = received.toString(StandardCharsets.US_ASCII);
            String head = text.substring(0, text.indexOf("\r\n\r\n")).toLowerCase(Locale.ROOT);
            assertTrue(head.contains("content-length: " + ANSWER_BYTES), head);
            assertTrue(text.length() - head.length() < ANSWER_BYTES);
        }
    }
}
