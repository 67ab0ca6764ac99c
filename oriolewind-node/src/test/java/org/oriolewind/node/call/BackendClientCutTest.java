package org.oriolewind.node.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import com.google.protobuf.ByteString;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantReadWriteLock;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.oriolewind.node.JettyClientFactory;
import org.oriolewind.request.BackendCallSender;
import org.oriolewind.request.Cancellable;
import org.oriolewind.wire.CallRequest;
import org.oriolewind.wire.Header;

/**
 * Responses without a length of which the backend server has written half when their connection
 * ends, with the request read or, as the server reads no more, still being written.
 */
class BackendClientCutTest {
    private static final int TIMEOUT_MILLIS = 5000;
    private static final int SHORT_TIMEOUT_MILLIS = 200;
    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final int RECEIVE_BUFFER_BYTES = 4096;

    /** Time for what the server did to be read by the client. */
    private static final long ARRIVAL_MILLIS = 20;

    private static final int[] REQUEST_BODY_BYTES = {0, 300_000, 2_000_000, 32_000_000};

    private static final byte[] MORE_THAN_THE_LIMIT = new byte[3 * MAX_BODY_BYTES];
    private static final String HALF = "HTTP/1.1 200 OK\r\n\r\nhalf";

    private final BlockingQueue<String> mOutcomes = new LinkedBlockingQueue<>();
    private final ExecutorService mThreads = Executors.newCachedThreadPool();

    /** Held for writing while the threads of the client stand still. */
    private final ReentrantReadWriteLock mPause = new ReentrantReadWriteLock();

    private final HttpClient mHttpClient =
            JettyClientFactory.newClient(this::runUnlessPaused, 2 * MAX_BODY_BYTES);
    private ServerSocket mServer;

    @BeforeEach
    void open() throws Exception {
        mServer = new ServerSocket();
        mServer.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        mServer.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        mServer.setSoTimeout(TIMEOUT_MILLIS);
        mHttpClient.start();
    }

    @AfterEach
    void close() throws Exception {
        mHttpClient.stop();
        mThreads.shutdownNow();
        mServer.close();
    }

    private void runUnlessPaused(Runnable task) {
        mThreads.execute(
                () -> {
                    mPause.readLock().lock();
                    mPause.readLock().unlock();
                    task.run();
                });
    }

    private final class Listener implements BackendCallSender.Listener {
        @Override
        public void onAnswer(int status, List<Header> headers, ByteString body) {
            mOutcomes.add("answer " + status + " " + body.toStringUtf8());
        }

        @Override
        public void onRefused(boolean draining) {
            mOutcomes.add("refused");
        }

        @Override
        public void onFailure(boolean sent, boolean timedOut, String reason) {
            mOutcomes.add((sent ? "unknown" : "unsent") + (timedOut ? ", timed out" : ""));
        }
    }

    /** What ends the connection. */
    private enum Cut {
        RESET("unknown"),
        RESET_WHILE_THREADS_STAND_STILL("unknown"),
        TOTAL_TIMEOUT("unknown, timed out"),
        IDLE_TIMEOUT("unknown, timed out"),
        CANCEL("unknown"),
        STOP("unknown"),
        LIMIT_OF_BYTES("unknown");

        final String mOutcome;

        Cut(String outcome) {
            mOutcome = outcome;
        }

        int timeoutMillis() {
            return this == TOTAL_TIMEOUT ? SHORT_TIMEOUT_MILLIS : TIMEOUT_MILLIS;
        }
    }

    private static Stream<Arguments> cuts() {
        return Stream.of(Cut.values())
                .flatMap(
                        cut ->
                                IntStream.of(REQUEST_BODY_BYTES)
                                        .mapToObj(bytes -> Arguments.of(cut, bytes)));
    }

    @ParameterizedTest
    @MethodSource("cuts")
    void responseWithoutLengthThatIsCutIsIncomplete(Cut cut, int requestBodyBytes)
            throws Exception {
        if (cut == Cut.IDLE_TIMEOUT) {
            mHttpClient.setIdleTimeout(SHORT_TIMEOUT_MILLIS);
        }
        Cancellable sent = send(requestBodyBytes, cut.timeoutMillis());
        try (Socket socket = mServer.accept()) {
            readHead(socket);
            if (cut == Cut.RESET_WHILE_THREADS_STAND_STILL) {
                mPause.writeLock().lock();
            }
            socket.getOutputStream().write(HALF.getBytes(StandardCharsets.US_ASCII));
            Thread.sleep(ARRIVAL_MILLIS);
            cut(cut, sent, socket);
            assertEquals(cut.mOutcome, mOutcomes.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        }
        assertNull(mOutcomes.poll(ARRIVAL_MILLIS, TimeUnit.MILLISECONDS), "call ended twice");
    }

    private void cut(Cut cut, Cancellable sent, Socket socket) throws Exception {
        switch (cut) {
            case RESET -> reset(socket);
            case RESET_WHILE_THREADS_STAND_STILL -> {
                reset(socket);
                Thread.sleep(ARRIVAL_MILLIS);
                mPause.writeLock().unlock();
            }
            case CANCEL -> sent.cancel();
            case STOP -> mHttpClient.stop();
            case LIMIT_OF_BYTES -> {
                try {
                    socket.getOutputStream().write(MORE_THAN_THE_LIMIT);
                } catch (IOException e) {
                    // The client has closed the connection.
                    return;
                }
            }
            case TOTAL_TIMEOUT, IDLE_TIMEOUT -> {
                // The client closes the connection.
            }
        }
    }

    private Cancellable send(int bodyBytes, int timeoutMillis) {
        CallRequest call =
                CallRequest.newBuilder()
                        .setCallId("a")
                        .setMethod("POST")
                        .setPath("/x")
                        .setBody(ByteString.copyFrom(new byte[bodyBytes]))
                        .build();
        String address = "127.0.0.1:" + mServer.getLocalPort();
        return new BackendClient(mHttpClient, address, MAX_BODY_BYTES)
                .send(call, timeoutMillis, new Listener());
    }

    private static void readHead(Socket socket) throws IOException {
        socket.setSoTimeout(TIMEOUT_MILLIS);
        DataInputStream in = new DataInputStream(socket.getInputStream());
        int last = 0;
        while (last != ('\r' << 24 | '\n' << 16 | '\r' << 8 | '\n')) {
            last = last << 8 | in.readUnsignedByte();
        }
    }

    private static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }
}
