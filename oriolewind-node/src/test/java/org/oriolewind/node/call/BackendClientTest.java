package org.oriolewind.node.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

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
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.oriolewind.request.BackendCallSender;
import org.oriolewind.wire.CallRequest;
import org.oriolewind.wire.Header;

/** Calls to a backend server that is scripted byte by byte. */
class BackendClientTest {
    private static final String RESPONSE = "HTTP/1.1 %s\r\n%sContent-Length: 2\r\n\r\nok";
    private static final int TIMEOUT_MILLIS = 5000;

    private final BlockingQueue<String> mOutcomes = new LinkedBlockingQueue<>();
    private final HttpClient mHttpClient = new HttpClient();
    private ServerSocket mServer;
    private BackendClient mClient;

    @BeforeEach
    void open() throws Exception {
        mServer = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        mServer.setSoTimeout(TIMEOUT_MILLIS);
        mHttpClient.start();
        mClient = new BackendClient(mHttpClient, "127.0.0.1:" + mServer.getLocalPort(), 1 << 20);
    }

    @AfterEach
    void close() throws Exception {
        mHttpClient.stop();
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
        public void onFailure(boolean sent, boolean timedOut) {
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
