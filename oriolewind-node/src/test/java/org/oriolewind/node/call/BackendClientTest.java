package org.oriolewind.node.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.oriolewind.node.JettyClientFactory;
import org.oriolewind.request.BackendCallSender;
import org.oriolewind.wire.CallRequest;
import org.oriolewind.wire.Header;

/** Calls to a backend server that is scripted byte by byte. */
class BackendClientTest {
    private static final String RESPONSE = "HTTP/1.1 %s\r\n%sContent-Length: 2\r\n\r\nok";
    private static final int TIMEOUT_MILLIS = 5000;
    private static final int MAX_BODY_BYTES = 1 << 20;

    /** The longest body plus what the socket buffers of the connection hold. */
    private static final long MAX_ACCEPTED_BYTES = MAX_BODY_BYTES + 16L * 1024 * 1024;

    private final BlockingQueue<String> mOutcomes = new LinkedBlockingQueue<>();
    private final ExecutorService mThreads = Executors.newCachedThreadPool();
    private final HttpClient mHttpClient =
            JettyClientFactory.newClient(mThreads, 2 * MAX_BODY_BYTES);
    private ServerSocket mServer;
    private BackendClient mClient;

    @BeforeEach
    void open() throws Exception {
        mServer = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        mServer.setSoTimeout(TIMEOUT_MILLIS);
        mHttpClient.start();
        mClient =
                new BackendClient(
                        mHttpClient, "127.0.0.1:" + mServer.getLocalPort(), MAX_BODY_BYTES);
    }

    @AfterEach
    void close() throws Exception {
        mHttpClient.stop();
        mThreads.shutdownNow();
        mServer.close();
    }

    private final class Listener implements BackendCallSender.Listener {
        @Override
        public void onAnswer(int status, List<Header> headers, ByteString body) {
            mOutcomes.add("answer " + status);
        }

        @Override
        public void onRefused(boolean draining) {
            mOutcomes.add("refused");
        }

        @Override
        public void onFailure(boolean sent, boolean timedOut, String reason) {
            mOutcomes.add(sent ? "unknown" : "unsent");
        }
    }

    private void send(String id) {
        CallRequest call =
                CallRequest.newBuilder().setCallId(id).setMethod("GET").setPath("/x").build();
        mClient.send(call, TIMEOUT_MILLIS, new Listener());
    }

    private String outcome() throws InterruptedException {
        String outcome = mOutcomes.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        assertNotNull(outcome, "call did not end");
        return outcome;
    }

    /** Reads one request and responds. */
    private static BufferedReader respond(Socket socket, String response) throws IOException {
        socket.setSoTimeout(TIMEOUT_MILLIS);
        BufferedReader reader =
                new BufferedReader(
                        new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        while (!reader.readLine().isEmpty()) {
            // The request's head is not examined.
            continue;
        }
        socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
        return reader;
    }

    @ParameterizedTest
    @CsvSource({
        "503 Service Unavailable, X-Not-Run: shed|, refused",
        "200 OK, Oriolewind-Call: another|, unknown",
        "503 Service Unavailable, X-Not-Run: shed|Oriolewind-Call: another|, unknown"
    })
    void connectionWhoseNextResponseIsUncertainIsClosed(
            String status, String header, String outcome) throws Exception {
        send("a");
        try (Socket socket = mServer.accept()) {
            String headers = header.replace("|", "\r\n");
            BufferedReader reader = respond(socket, String.format(RESPONSE, status, headers));
            assertEquals(outcome, outcome());
            assertEquals(-1, reader.read());
        }
    }

    /**
     * Guards against an empty or short body that is passed on as if it were whole. The body of a
     * chunked response is whole with the header of its last chunk.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nX: y\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX: y\r\n\r\n123456789012",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
            })
    void responseThatEndsBeforeItsHeadOrBodyIsAFailure(String response) throws Exception {
        for (int length = 0; length < response.length(); length++) {
            send("a");
            try (Socket socket = mServer.accept()) {
                respond(socket, response.substring(0, length));
            }
            assertEquals("unknown", outcome(), "after " + length + " bytes");
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
                "HTTP/1.1 200 OK\r\nOriolewind-Call: a\r\nX: y",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: "
            })
    void statusOfACutResponseIsNotCombinedWithTheNextResponse(String cut) throws Exception {
        send("a");
        try (Socket socket = mServer.accept()) {
            String next =
                    "HTTP/1.1 500 Failed\r\nOriolewind-Call: a\r\nContent-Length: 2\r\n\r\nno";
            BufferedReader reader = respond(socket, cut + next);
            assertEquals("unknown", outcome());
            assertEquals(-1, reader.read());
        }
    }

    /** Guards against an answer with a status that callers can't read. */
    @ParameterizedTest
    @ValueSource(strings = {"0", "20", "099", "101", "1000", "2000"})
    void statusThatCannotBeAnAnswerIsAFailure(String status) throws Exception {
        send("a");
        try (Socket socket = mServer.accept()) {
            respond(socket, "HTTP/1.1 " + status + " S\r\nContent-Length: 0\r\n\r\n");
            assertEquals("unknown", outcome());
        }
    }

    /** Guards against a response that is given to the call whose ID comes first in it. */
    @ParameterizedTest
    @CsvSource({"a, b", "b, a"})
    void responseThatNamesTwoCallsIsAFailure(String first, String second) throws Exception {
        send("a");
        try (Socket socket = mServer.accept()) {
            String ids = "Oriolewind-Call: " + first + "\r\nOriolewind-Call: " + second + "\r\n";
            BufferedReader reader = respond(socket, String.format(RESPONSE, "200 OK", ids));
            assertEquals("unknown", outcome());
            assertEquals(-1, reader.read());
        }
    }

    @Test
    void responseWithoutLengthThatIsResetIsIncomplete() throws Exception {
        send("a");
        Socket socket = mServer.accept();
        respond(socket, "HTTP/1.1 200 OK\r\n\r\nhalf");
        Thread.sleep(100);
        socket.setSoLinger(true, 0);
        socket.close();
        assertEquals("unknown", outcome());
    }

    /** Guards against bytes without end that fill the memory of the process. */
    @ParameterizedTest
    @CsvSource({
        "'HTTP/1.1 200 OK||', x",
        "'HTTP/1.1 200 OK|Content-Length: 99999999999||', x",
        "'HTTP/1.1 200 OK|X: ', x",
        "'HTTP/1.1 200 OK|', 'X: y|'",
        "'HTTP/1.1 200 OK|Transfer-Encoding: chunked||', '1|x|'",
        "'HTTP/1.1 200 OK|Transfer-Encoding: chunked||7fffffff|', x",
        "'HTTP/1.1 200 OK|Transfer-Encoding: chunked||0|', 'X: y|'",
        "'HTTP/1.1 200 OK|Transfer-Encoding: chunked||1;', x",
        "'', x",
        "'', '|'"
    })
    void endlessResponseIsAborted(String start, String repeated) throws Exception {
        send("a");
        byte[] bytes =
                repeated.replace("|", "\r\n").repeat(8192).getBytes(StandardCharsets.US_ASCII);
        try (Socket socket = mServer.accept()) {
            respond(socket, start.replace("|", "\r\n"));
            CompletableFuture<Long> written =
                    CompletableFuture.supplyAsync(() -> writeUntilClosed(socket, bytes));
            assertTrue(
                    written.get(2 * TIMEOUT_MILLIS, TimeUnit.MILLISECONDS) <= MAX_ACCEPTED_BYTES);
            assertEquals("unknown", outcome());
        }
    }

    /** Interim responses that were not asked for once made a call wait without a timeout. */
    @Test
    void endlessInterimResponsesAreAborted() throws Exception {
        endlessResponseIsAborted("", "HTTP/1.1 100 Continue||");
    }

    /** Guards against calls that never end after an interim response that was not asked for. */
    @ParameterizedTest
    @ValueSource(ints = {100, 102, 103, 104, 199})
    void callEndsAfterInterimResponses(int status) throws Exception {
        String interim = "HTTP/1.1 " + status + " Interim\r\n\r\n";
        send("a");
        try (Socket socket = mServer.accept()) {
            respond(socket, interim);
            Thread.sleep(100);
            socket.getOutputStream().write(interim.repeat(3).getBytes(StandardCharsets.US_ASCII));
            Thread.sleep(100);
            String last = interim + String.format(RESPONSE, "200 OK", "");
            socket.getOutputStream().write(last.getBytes(StandardCharsets.US_ASCII));
            assertEquals("answer 200", outcome());
        }
    }

    /** Guards against a timeout that interim responses put out of force. */
    @ParameterizedTest
    @ValueSource(ints = {100, 102, 199})
    void callWithInterimResponsesOnlyEndsAtItsTimeout(int status) throws Exception {
        String interim = "HTTP/1.1 " + status + " Interim\r\n\r\n";
        send("a");
        try (Socket socket = mServer.accept()) {
            respond(socket, interim);
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(2 * TIMEOUT_MILLIS);
            while (mOutcomes.isEmpty() && System.nanoTime() < end) {
                socket.getOutputStream().write(interim.getBytes(StandardCharsets.US_ASCII));
                Thread.sleep(100);
            }
        } catch (IOException e) {
            // The client has closed the connection.
        }
        assertEquals("unknown", outcome());
    }

    private static long writeUntilClosed(Socket socket, byte[] bytes) {
        long written = 0;
        try {
            while (written <= MAX_ACCEPTED_BYTES) {
                socket.getOutputStream().write(bytes);
                written += bytes.length;
            }
        } catch (IOException e) {
            // The client has closed the connection.
            return written;
        }
        return written;
    }

    @Test
    void connectionIsReusedAfterAnAnswer() throws Exception {
        send("a");
        try (Socket socket = mServer.accept()) {
            respond(socket, String.format(RESPONSE, "200 OK", ""));
            assertEquals("answer 200", outcome());
            send("b");
            respond(socket, String.format(RESPONSE, "200 OK", "Oriolewind-Call: b\r\n"));
            assertEquals("answer 200", outcome());
        }
    }
}
