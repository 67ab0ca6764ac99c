package org.oriolewind.node.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.oriolewind.request.Cancellable;

/** Tests exchanges with a faulty server that is scripted byte by byte. */
class PooledHttpClientTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok";

    private static final String ERROR =
            "HTTP/1.1 500 Internal Server Error\r\nId: %s\r\nContent-Length: 2\r\n\r\nno";

    /** A refusal that doesn't name the request it answers. */
    private static final String REFUSAL =
            "HTTP/1.1 503 Service Unavailable\r\nRefused: 1\r\nContent-Length: 2\r\n\r\nno";

    private static final int MAX_RESPONSE_BYTES = 1024 * 1024;

    /** Delay of the event loop that a node logs as a warning. */
    private static final long MAX_LOOP_DELAY_MILLIS = 300;

    /** The longest response plus what the socket buffers of the connection hold. */
    private static final long MAX_ACCEPTED_BYTES = MAX_RESPONSE_BYTES + 16L * 1024 * 1024;

    /** More than the socket buffers of a connection hold. */
    private static final int UNWRITABLE_BODY_BYTES = 32 * 1024 * 1024;

    /** The reset is seen by a write or by a read, whichever comes first. */
    private static final int RESET_REPETITIONS = 20;

    /** Receive buffer of a server that holds up the requests of clients. */
    private static final int RECEIVE_BUFFER_BYTES = 16_384;

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop mLoop = mGroup.next();
    private final BlockingQueue<String> mOutcomes = new LinkedBlockingQueue<>();
    private ServerSocket mServer;
    private PooledHttpClient mClient;

    @BeforeEach
    void open() throws IOException {
        mServer = new ServerSocket();
        mServer.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        mServer.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 10);
        InetSocketAddress address =
                new InetSocketAddress(InetAddress.getLoopbackAddress(), mServer.getLocalPort());
        mClient = new PooledHttpClient(mLoop, address, 10, 500, 5000, MAX_RESPONSE_BYTES);
    }

    @AfterEach
    void close() throws IOException {
        mServer.close();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private final class Listener implements HttpResponseListener {
        private final String mId;

        Listener(String id) {
            mId = id;
        }

        @Override
        public Optional<String> requestId() {
            return Optional.of(mId);
        }

        @Override
        public Match match(FullHttpResponse response) {
            String id = response.headers().get("Id");
            if (id == null) {
                return response.headers().contains("Refused") ? Match.UNIDENTIFIED : Match.OTHER;
            }
            return mId.equals(id) ? Match.OWN : Match.OTHER;
        }

        @Override
        public void onResponse(FullHttpResponse response, End end) {
            mOutcomes.add(
                    response.status().code()
                            + " "
                            + response.content().toString(StandardCharsets.UTF_8));
        }

        @Override
        public void onFailure(boolean sent, boolean timedOut, String reason) {
            mOutcomes.add((sent ? "sent" : "unsent") + (timedOut ? " timed out" : ""));
        }
    }

    private void send(String id, long timeoutMillis) {
        mLoop.execute(() -> start(id, timeoutMillis));
    }

    private Cancellable start(String id, long timeoutMillis) {
        return start(id, timeoutMillis, 0);
    }

    private Cancellable start(String id, long timeoutMillis, int bodyBytes) {
        return mClient.send(
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.GET,
                        "/",
                        Unpooled.wrappedBuffer(new byte[bodyBytes])),
                timeoutMillis,
                new Listener(id));
    }

    private String outcome() throws InterruptedException {
        String outcome = mOutcomes.poll(5, TimeUnit.SECONDS);
        assertTrue(outcome != null, "exchange did not end");
        return outcome;
    }

    private static void readRequest(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        int matched = 0;
        byte[] blank = "\r\n\r\n".getBytes(StandardCharsets.UTF_8);
        while (matched < blank.length) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("closed");
            }
            matched = next == blank[matched] ? matched + 1 : next == blank[0] ? 1 : 0;
        }
    }

    /** Waits until some bytes have arrived, which shows that the client uses the connection. */
    private static void awaitBytes(Socket socket) throws Exception {
        while (socket.getInputStream().available() == 0) {
            Thread.sleep(1);
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        socket.getOutputStream().flush();
    }

    @Test
    void connectionIsReused() throws Exception {
        send("a", 2000);
        try (Socket socket = mServer.accept()) {
            readRequest(socket);
            write(socket, String.format(OK, "a"));
            assertEquals("200 ok", outcome());
            send("b", 2000);
            readRequest(socket);
            write(socket, String.format(OK, "b"));
            assertEquals("200 ok", outcome());
        }
    }

    @Test
    void lateDuplicateResponseIsNotMatchedToTheNextRequest() throws Exception {
        send("a", 2000);
        try (Socket socket = mServer.accept()) {
            readRequest(socket);
            write(socket, String.format(OK, "a"));
            assertEquals("200 ok", outcome());
            send("b", 2000);
            readRequest(socket);
            write(socket, String.format(OK, "a") + String.format(OK, "b"));
            assertEquals("200 ok", outcome());
            assertEquals(-1, socket.getInputStream().read());
        }
    }

    /** Guards against a late copy that answers a second request with the same ID. */
    @Test
    void lateDuplicateResponseIsNotMatchedToASecondRequestWithItsId() throws Exception {
        mServer.setSoTimeout(2000);
        send("a", 4000);
        try (Socket first = mServer.accept()) {
            readRequest(first);
            write(first, String.format(OK, "a"));
            assertEquals("200 ok", outcome());
            send("a", 4000);
            try (Socket second = mServer.accept()) {
                write(first, String.format(OK, "a"));
                readRequest(second);
                write(second, "HTTP/1.1 500 Failed\r\nId: a\r\nContent-Length: 2\r\n\r\nno");
                assertEquals("500 no", outcome());
            }
        }
    }

    @Test
    void connectionCarriesALimitedNumberOfRequests() throws Exception {
        int connections = 0;
        for (int i = 0; connections < 3; ) {
            connections++;
            send("a" + i, 4000);
            try (Socket socket = mServer.accept()) {
                socket.setSoTimeout(2000);
                int requests = 0;
                do {
                    readRequest(socket);
                    write(socket, String.format(OK, "a" + i));
                    assertEquals("200 ok", outcome());
                    i++;
                    requests++;
                    if (requests < 128) {
                        send("a" + i, 4000);
                    }
                } while (requests < 128);
                assertEquals(-1, socket.getInputStream().read());
            }
        }
    }

    @Test
    void duplicateResponseClosesTheConnection() throws Exception {
        send("a", 2000);
        try (Socket socket = mServer.accept()) {
            readRequest(socket);
            write(socket, String.format(OK, "a") + String.format(OK, "a"));
            assertEquals("200 ok", outcome());
            assertEquals(-1, socket.getInputStream().read());
        }
    }

    @Test
    void connectionIsNotReusedAfterARefusalWithoutRequestId() throws Exception {
        send("a", 2000);
        try (Socket socket = mServer.accept()) {
            readRequest(socket);
            write(socket, REFUSAL);
            assertEquals("503 no", outcome());
            assertEquals(-1, socket.getInputStream().read());
        }
    }

    @Test
    void refusalAfterAnUnexpectedResponseIsNotMatchedToTheRequest() throws Exception {
        send("a", 2000);
        try (Socket socket = mServer.accept()) {
            readRequest(socket);
            write(socket, String.format(OK, "earlier") + REFUSAL);
            assertEquals("sent", outcome());
            assertEquals(-1, socket.getInputStream().read());
        }
    }

    @Test
    void refusalThatPrecedesTheEndOfTheRequestIsNotMatchedToIt() throws Exception {
        mLoop.execute(() -> start("a", 2000, UNWRITABLE_BODY_BYTES));
        try (Socket socket = mServer.accept()) {
            write(socket, REFUSAL);
            assertEquals("sent", outcome());
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\nok",
                "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
                "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok\r\n",
                "rubbish\r\n\r\n",
                "HTTP/1.1 200",
                ""
            })
    void malformedOrTruncatedResponseIsAFailure(String bytes) throws Exception {
        send("a", 2000);
        try (Socket socket = mServer.accept()) {
            readRequest(socket);
            write(socket, bytes);
        }
        assertEquals("sent", outcome());
    }

    /** Guards against an empty or short body that is passed on as if it were whole. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nId: a\r\n\r\n",
                "HTTP/1.0 200 OK\r\nId: a\r\n\r\n",
                "HTTP/1.1 200 OK\nId: a\n\n",
                "HTTP/1.1 204 No Content\r\nId: a\r\n\r\n",
                "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nId: a\r\n\r\n123456789012",
                "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: y\r\n\r\n",
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\n\r\n"
            })
    void responseThatEndsBeforeItsHeadIsAFailure(String response) throws Exception {
        for (int length = 0; length < response.length(); length++) {
            send("a", 2000);
            try (Socket socket = mServer.accept()) {
                readRequest(socket);
                write(socket, response.substring(0, length));
            }
            assertEquals("sent", outcome(), "after " + length + " bytes");
        }
    }

    @Test
    void responseWithoutLengthEndsWithItsConnection() throws Exception {
        send("a", 2000);
        try (Socket socket = mServer.accept()) {
            readRequest(socket);
            write(socket, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nwhole");
        }
        assertEquals("200 whole", outcome());
    }

    @Test
    void responseWithoutLengthThatIsResetIsIncomplete() throws Exception {
        send("a", 2000);
        Socket socket = mServer.accept();
        readRequest(socket);
        write(socket, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nhalf");
        Thread.sleep(100);
        socket.setSoLinger(true, 0);
        socket.close();
        assertEquals("sent", outcome());
    }

    /** How a server breaks off a connection while a part of the request is unread. */
    private enum Break {
        RESET {
            @Override
            void apply(Socket socket) throws IOException {
                socket.setSoLinger(true, 0);
                socket.close();
            }
        },
        /** The operating system resets the connection for what is left unread. */
        CLOSE {
            @Override
            void apply(Socket socket) throws IOException {
                socket.close();
            }
        },
        END_THEN_RESET {
            @Override
            void apply(Socket socket) throws IOException {
                socket.shutdownOutput();
                RESET.apply(socket);
            }
        };

        abstract void apply(Socket socket) throws IOException;
    }

    /** Guards against a failed write whose closed connection ends the response as if whole. */
    @ParameterizedTest
    @CsvSource({
        "4000000, 0, RESET",
        "4000000, 100000, RESET",
        "32000000, 0, RESET",
        "32000000, 1000000, RESET",
        "4000000, 0, CLOSE",
        "4000000, 100000, CLOSE",
        "32000000, 1000000, CLOSE",
        "4000000, 100000, END_THEN_RESET",
        "32000000, 0, END_THEN_RESET"
    })
    void responseWithoutLengthThatIsBrokenOffDuringTheRequestIsIncomplete(
            int bodyBytes, int readBytes, Break how) throws Exception {
        for (int i = 0; i < RESET_REPETITIONS; i++) {
            mLoop.execute(() -> start("a", 2000, bodyBytes));
            Socket socket = mServer.accept();
            awaitBytes(socket);
            socket.getInputStream().readNBytes(readBytes);
            write(socket, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nhalf");
            Thread.sleep(20);
            how.apply(socket);
            assertEquals("sent", outcome(), "repetition " + i);
        }
    }

    /** Guards against a close on this side that ends the response as if whole. */
    @Test
    void responseWithoutLengthThatIsClosedOnThisSideIsIncomplete() throws Exception {
        send("a", 2000);
        try (Socket socket = mServer.accept()) {
            readRequest(socket);
            write(socket, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nhalf");
            Thread.sleep(100);
            mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            assertEquals("sent", outcome());
        }
    }

    /** Guards against an interim response that is passed on in place of the answer. */
    @ParameterizedTest
    @ValueSource(strings = {"100 Continue", "102 Processing", "103 Early Hints", "199 Other"})
    void interimResponseThatNamesTheRequestIsNotItsAnswer(String interim) throws Exception {
        send("a", 2000);
        try (Socket socket = mServer.accept()) {
            readRequest(socket);
            write(socket, "HTTP/1.1 " + interim + "\r\nId: a\r\n\r\n" + String.format(OK, "a"));
            assertEquals("200 ok", outcome());
            assertEquals(-1, socket.getInputStream().read());
        }
    }

    /** Guards against an answer with a status that callers can't read. */
    @ParameterizedTest
    @ValueSource(strings = {"0", "20", "99", "101", "1000", "2000"})
    void statusThatCannotBeAnAnswerIsAFailure(String status) throws Exception {
        send("a", 2000);
        try (Socket socket = mServer.accept()) {
            readRequest(socket);
            write(socket, "HTTP/1.1 " + status + " S\r\nId: a\r\nContent-Length: 0\r\n\r\n");
            assertEquals("sent", outcome());
        }
    }

    /** Guards against the status of a cut response with the headers and body of another one. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 ",
                "HTTP/1.1 200 O",
                "HTTP/1.1 200 OK",
                "HTTP/1.1 200 OK\r",
                "HTTP/1.1 200 OK\r\n",
                "HTTP/1.1 200 OK\r\nX: ",
                "HTTP/1.1 200 OK\r\nX: y\r\n ",
                "HTTP/1.1 200 OK\r\nId: a\r\nX: y",
                "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: "
            })
    void statusOfACutResponseIsNotCombinedWithTheNextResponse(String cut) throws Exception {
        send("a", 500);
        try (Socket socket = mServer.accept()) {
            readRequest(socket);
            write(socket, cut + String.format(ERROR, "a"));
            assertTrue(outcome().startsWith("sent"));
        }
    }

    /** Guards against bytes after a response that spoil or change the next one. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK",
                "HTTP/1.1 200 OK\r\nFoo ",
                "HTTP/1.1 200 OK\r\nFoo\t",
                "HTTP/1.1 2",
                "garbage",
                "x"
            })
    void connectionIsNotReusedWithBytesAfterAResponse(String bytes) throws Exception {
        mServer.setSoTimeout(2000);
        send("a", 4000);
        try (Socket first = mServer.accept()) {
            readRequest(first);
            write(first, String.format(OK, "a") + bytes);
            assertEquals("200 ok", outcome());
            send("b", 4000);
            try (Socket second = mServer.accept()) {
                readRequest(second);
                write(second, String.format(ERROR, "b"));
                assertEquals("500 no", outcome());
                assertEquals(-1, first.getInputStream().read());
            }
        }
    }

    @Test
    void missingResponseEndsAtTheTimeout() throws Exception {
        send("a", 300);
        try (Socket socket = mServer.accept()) {
            readRequest(socket);
            assertEquals("sent timed out", outcome());
            assertEquals(-1, socket.getInputStream().read());
        }
    }

    @Test
    void refusedConnectionReportsThatNothingWasSent() throws Exception {
        mServer.close();
        send("a", 2000);
        assertEquals("unsent", outcome());
    }

    @Test
    void cancelledExchangeClosesItsConnection() throws Exception {
        Cancellable exchange = mLoop.submit(() -> start("a", 5000)).get();
        try (Socket socket = mServer.accept()) {
            readRequest(socket);
            mLoop.execute(exchange::cancel);
            assertEquals("sent", outcome());
            assertEquals(-1, socket.getInputStream().read());
        }
    }

    /** Endless responses once filled the memory of the process with up to 64 MB each. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nId: a\r\n\r\n",
                "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 99999999999\r\n\r\n",
                "HTTP/1.1 200 OK\r\nId: a\r\nX: ",
                "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n",
                "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ",
                ""
            })
    void endlessResponseIsAborted(String start) throws Exception {
        send("a", 20_000);
        try (Socket socket = mServer.accept()) {
            readRequest(socket);
            write(socket, start);
            assertTrue(writeUntilClosed(socket, "x") <= MAX_ACCEPTED_BYTES);
            assertEquals("sent", outcome());
        }
    }

    /** Guards against bytes that belong to no response and are read until the caller closes. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "\r\n",
                " ",
                "HTTP/1.1 100 Continue\r\n\r\n",
                "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nok",
                "HTTP/1.1 200 OK\r\n"
                        + "Id: other\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n"
                        + "1\r\n"
                        + "x\r\n"
                        + "0\r\n\r\n"
            })
    void endlessBytesThatAreNoResponseAreAborted(String repeated) throws Exception {
        send("a", 20_000);
        try (Socket socket = mServer.accept()) {
            readRequest(socket);
            assertTrue(writeUntilClosed(socket, repeated) <= MAX_ACCEPTED_BYTES);
            assertEquals("sent", outcome());
        }
    }

    /** One turn of the event loop took up to 1 MB from a connection: 170,000 chunks to decode. */
    @Test
    void endlessSmallChunksDoNotDelayOtherWork() throws Exception {
        // The first exchange loads classes, which takes hundreds of milliseconds on a busy machine.
        send("first", 20_000);
        try (Socket socket = mServer.accept()) {
            readRequest(socket);
            write(
                    socket,
                    "HTTP/1.1 200 OK\r\n"
                            + "Id: first\r\n"
                            + "Connection: close\r\n"
                            + "Transfer-Encoding: chunked\r\n\r\n");
            write(socket, "1\r\nx\r\n0\r\n\r\n");
            assertEquals("200 x", outcome());
        }
        List<Thread> writers = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            send("a", 20_000);
            Socket socket = mServer.accept();
            readRequest(socket);
            write(socket, "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n");
            writers.add(new Thread(() -> writeUntilClosed(socket, "1\r\nx\r\n")));
        }
        AtomicLong worstDelayMillis = new AtomicLong();
        long[] latestNanos = {System.nanoTime()};
        mLoop.scheduleAtFixedRate(
                () -> {
                    long now = System.nanoTime();
                    long millis = TimeUnit.NANOSECONDS.toMillis(now - latestNanos[0]);
                    worstDelayMillis.accumulateAndGet(millis, Math::max);
                    latestNanos[0] = now;
                },
                10,
                10,
                TimeUnit.MILLISECONDS);
        writers.forEach(Thread::start);
        for (Thread writer : writers) {
            writer.join();
        }
        assertTrue(worstDelayMillis.get() < MAX_LOOP_DELAY_MILLIS, worstDelayMillis + " ms");
    }

    @ParameterizedTest
    @ValueSource(strings = {"\r\n", " ", "HTTP/1.1 100 Continue\r\n\r\n", "x"})
    void bytesOnAnIdleConnectionCloseIt(String repeated) throws Exception {
        send("a", 2000);
        try (Socket socket = mServer.accept()) {
            readRequest(socket);
            write(socket, String.format(OK, "a"));
            assertEquals("200 ok", outcome());
            assertTrue(writeUntilClosed(socket, repeated) <= MAX_ACCEPTED_BYTES);
        }
    }

    private static long writeUntilClosed(Socket socket, String repeated) {
        byte[] bytes = repeated.repeat(65_536 / repeated.length()).getBytes(StandardCharsets.UTF_8);
        long written = 0;
        try {
            while (written <= MAX_ACCEPTED_BYTES) {
                socket.getOutputStream().write(bytes);
                written += bytes.length;
            }
        } catch (IOException e) {
            // The other side has closed the connection.
            return written;
        }
        return written;
    }
}
