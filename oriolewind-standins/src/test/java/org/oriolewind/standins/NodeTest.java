package org.oriolewind.standins;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.InputStream;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.oriolewind.node.call.CallHeaders;
import org.oriolewind.standins.LocalMesh.RunningNode;
import org.oriolewind.standins.backend.BackendBehaviour;
import org.oriolewind.standins.backend.BackendHandler;

/**
 * Runs nodes over loopback sockets and checks the responses to callers, idempotency keys, the
 * handling of invalid bytes at the peer port and a graceful shutdown under load.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class NodeTest {
    private LocalMesh mMesh;
    private RunningNode mNode;
    private RunningNode mOtherNode;

    @BeforeAll
    void start() throws Exception {
        mMesh = new LocalMesh();
        mNode = mMesh.start("n1", BackendBehaviour.healthy(6, 30));
        mOtherNode = mMesh.start("n2", BackendBehaviour.healthy(6, 30));
        mMesh.awaitReady();
    }

    @AfterAll
    void stop() throws Exception {
        mMesh.close();
    }

    private int runs(String id) {
        int runs = 0;
        for (RunningNode node : mMesh.mNodes) {
            var count = node.backendHandler().runsByRequestId().get(id);
            runs += count == null ? 0 : count.get();
        }
        return runs;
    }

    private HttpRequest.Builder printRequest(String id) {
        return HttpRequest.newBuilder(LocalMesh.uri(mNode.callerPort(), "/print"))
                .POST(HttpRequest.BodyPublishers.ofString("order"))
                .header(BackendHandler.REQUEST_ID, id);
    }

    private static String outcome(HttpResponse<String> response) {
        return response.headers().firstValue(CallHeaders.OUTCOME).orElse("none");
    }

    @Test
    void responseBelongsToCaller() throws Exception {
        HttpResponse<String> response = mMesh.send(printRequest("own"));
        assertEquals(200, response.statusCode());
        assertEquals("answered", outcome(response));
        assertEquals("done own\n", response.body());
        assertEquals("v1", response.headers().firstValue(CallHeaders.VERSION).orElse(""));
        assertEquals(1, runs("own"));
    }

    @ParameterizedTest
    @CsvSource({
        "Oriolewind-Timeout-Millis, soon, 400",
        "Oriolewind-Timeout-Millis, 0, 400",
        "Oriolewind-Timeout-Millis, 700000, 400",
        "Oriolewind-Hops, many, 400",
        "Oriolewind-Hops, -1, 400",
        "Oriolewind-Hops, 40, 508",
        "Idempotency-Key, ' ', 400"
    })
    void invalidHeaderIsRejectedWithoutRunningCall(String name, String value, int status)
            throws Exception {
        String id = "header-" + name + value.hashCode();
        HttpResponse<String> response = mMesh.send(printRequest(id).header(name, value));
        assertEquals(status, response.statusCode());
        assertEquals("not-run", outcome(response));
        assertEquals(0, runs(id));
    }

    @Test
    void bodyOverLimitIsRejected() throws Exception {
        HttpRequest.Builder request =
                printRequest("large").POST(HttpRequest.BodyPublishers.ofString("x".repeat(5000)));
        HttpResponse<String> response = mMesh.send(request);
        assertEquals(413, response.statusCode());
        assertEquals(0, runs("large"));
    }

    @Test
    void headersOverLimitAreRejected() throws Exception {
        HttpResponse<String> response =
                mMesh.send(printRequest("wide").header("X-A", "x".repeat(4000)));
        assertEquals(431, response.statusCode());
        assertEquals(0, runs("wide"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"/nowhere", "/printer", "/"})
    void pathWithoutRouteIsNotFound(String path) throws Exception {
        HttpResponse<String> response = mMesh.get(mNode.callerPort(), path);
        assertEquals(404, response.statusCode());
        assertEquals("not-run", outcome(response));
    }

    @ParameterizedTest
    @ValueSource(strings = {"garbage that is no frame", "\0\0\0\4abcd", "\177\377\377\377"})
    void invalidBytesAtPeerPortCloseConnectionAndAreCounted(String bytes) throws Exception {
        long before = peerProtocolErrors();
        try (Socket socket = new Socket("127.0.0.1", mNode.peerPort())) {
            socket.setSoTimeout(10_000);
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
            InputStream in = socket.getInputStream();
            assertEquals(-1, in.read(), "the node closes the connection");
        }
        LocalMesh.await(() -> peerProtocolErrors() > before);
        assertEquals(200, mMesh.send(printRequest("after-" + bytes.hashCode())).statusCode());
    }

    private long peerProtocolErrors() {
        try {
            return mMesh.metric(mNode, "peer.connections.strangers")
                    + mMesh.metric(mNode, "peer.frames.damaged");
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void expiredCallIsNotReportedAsNotRunIfItRan() throws Exception {
        List<HttpResponse<String>> responses = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            responses.add(
                    mMesh.send(
                            printRequest("short-" + i).header(CallHeaders.TIMEOUT_MILLIS, "31")));
        }
        for (int i = 0; i < responses.size(); i++) {
            if (outcome(responses.get(i)).equals("not-run")) {
                assertEquals(0, runs("short-" + i));
            }
            assertTrue(runs("short-" + i) <= 1);
        }
    }

    /**
     * Calls with the same idempotency key run once, when sent concurrently to two nodes and when
     * repeated later at the other node.
     */
    @Test
    void sameIdempotencyKeyRunsOnceAcrossNodes() throws Exception {
        awaitKeyLeaseHolder();
        List<CompletableFuture<HttpResponse<String>>> concurrentCalls = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            int port = i % 2 == 0 ? mNode.callerPort() : mOtherNode.callerPort();
            concurrentCalls.add(
                    mMesh.mClient.sendAsync(
                            keyedRequest(port, "key-1").build(),
                            HttpResponse.BodyHandlers.ofString()));
        }
        int answered = 0;
        for (CompletableFuture<HttpResponse<String>> call : concurrentCalls) {
            String outcome = outcome(call.get());
            assertTrue(outcome.equals("answered") || outcome.equals("unknown"), outcome);
            answered += outcome.equals("answered") ? 1 : 0;
        }
        assertTrue(answered >= 1);
        assertEquals(1, runs("keyed-key-1"));
        HttpResponse<String> repeated = mMesh.send(keyedRequest(mOtherNode.callerPort(), "key-1"));
        assertEquals("answered", outcome(repeated));
        assertEquals("done keyed-key-1\n", repeated.body());
        assertEquals(1, runs("keyed-key-1"));
    }

    private HttpRequest.Builder keyedRequest(int port, String key) {
        return HttpRequest.newBuilder(LocalMesh.uri(port, "/print"))
                .POST(HttpRequest.BodyPublishers.ofString("order"))
                .header(CallHeaders.IDEMPOTENCY_KEY, key)
                .header(BackendHandler.REQUEST_ID, "keyed-" + key);
    }

    /**
     * Waits until both nodes answer calls with a key, for which a lease holder has to grant claims.
     */
    private void awaitKeyLeaseHolder() throws Exception {
        int[] attempts = new int[1];
        for (int port : new int[] {mNode.callerPort(), mOtherNode.callerPort()}) {
            LocalMesh.await(
                    () -> {
                        try {
                            var call = keyedRequest(port, "try-" + port + "-" + attempts[0]++);
                            return outcome(mMesh.send(call)).equals("answered");
                        } catch (Exception e) {
                            throw new AssertionError(e);
                        }
                    });
        }
    }

    /**
     * A node that shuts down completes its open calls. Each call to it or to another node ends as
     * answered or not run, never as unknown, and the outcome agrees with whether it ran.
     */
    @Test
    void gracefulShutdownCompletesOpenCalls() throws Exception {
        RunningNode closingNode = mMesh.start("n3", BackendBehaviour.healthy(6, 200));
        mMesh.awaitReady();
        List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            int port = i % 2 == 0 ? closingNode.callerPort() : mOtherNode.callerPort();
            calls.add(
                    mMesh.mClient.sendAsync(
                            HttpRequest.newBuilder(LocalMesh.uri(port, "/print"))
                                    .POST(HttpRequest.BodyPublishers.ofString("order"))
                                    .header(BackendHandler.REQUEST_ID, "drain-" + i)
                                    .build(),
                            HttpResponse.BodyHandlers.ofString()));
        }
        LocalMesh.await(() -> closingNode.backendHandler().runsByRequestId().size() > 0);
        closingNode.node().close();
        mMesh.mNodes.remove(closingNode);
        for (int i = 0; i < calls.size(); i++) {
            HttpResponse<String> response = calls.get(i).get();
            String outcome = outcome(response);
            assertTrue(outcome.equals("answered") || outcome.equals("not-run"), outcome);
            int runCount = runs("drain-" + i);
            var atClosingNode = closingNode.backendHandler().runsByRequestId().get("drain-" + i);
            runCount += atClosingNode == null ? 0 : atClosingNode.get();
            assertEquals(outcome.equals("answered") ? 1 : 0, runCount, "drain-" + i);
        }
        closingNode.backendServer().stop();
    }
}
