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
import org.oriolewind.standins.LocalMesh.Running;
import org.oriolewind.standins.backend.BackendHandler;
import org.oriolewind.standins.backend.Behaviour;

/** Real nodes over real sockets: what callers, strangers and a shutdown meet. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class NodeTest {
    private LocalMesh mMesh;
    private Running mNode;
    private Running mOther;

    @BeforeAll
    void start() throws Exception {
        mMesh = new LocalMesh();
        mNode = mMesh.start("n1", Behaviour.good(6, 30));
        mOther = mMesh.start("n2", Behaviour.good(6, 30));
        mMesh.awaitReady();
    }

    @AfterAll
    void stop() throws Exception {
        mMesh.close();
    }

    private int runs(String id) {
        int runs = 0;
        for (Running node : mMesh.mNodes) {
            var count = node.handler().runs().get(id);
            runs += count == null ? 0 : count.get();
        }
        return runs;
    }

    private HttpRequest.Builder print(String id) {
        return HttpRequest.newBuilder(LocalMesh.uri(mNode.caller(), "/print"))
                .POST(HttpRequest.BodyPublishers.ofString("order"))
                .header(BackendHandler.REQUEST_ID, id);
    }

    private static String outcome(HttpResponse<String> response) {
        return response.headers().firstValue(CallHeaders.OUTCOME).orElse("none");
    }

    @Test
    void answerIsTheCallersOwn() throws Exception {
        HttpResponse<String> response = mMesh.send(print("own"));
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
    void badHeaderIsRefusedAndLeavesNothingBehind(String name, String value, int status)
            throws Exception {
        String id = "header-" + name + value.hashCode();
        HttpResponse<String> response = mMesh.send(print(id).header(name, value));
        assertEquals(status, response.statusCode());
        assertEquals("not-run", outcome(response));
        assertEquals(0, runs(id));
    }

    @Test
    void bodyOverTheLimitIsRefused() throws Exception {
        HttpRequest.Builder request =
                print("large").POST(HttpRequest.BodyPublishers.ofString("x".repeat(5000)));
        HttpResponse<String> response = mMesh.send(request);
        assertEquals(413, response.statusCode());
        assertEquals(0, runs("large"));
    }

    @Test
    void headersOverTheLimitAreRefused() throws Exception {
        HttpResponse<String> response = mMesh.send(print("wide").header("X-A", "x".repeat(4000)));
        assertEquals(431, response.statusCode());
        assertEquals(0, runs("wide"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"/nowhere", "/printer", "/"})
    void pathWithoutRouteIsNotFound(String path) throws Exception {
        HttpResponse<String> response = mMesh.get(mNode.caller(), path);
        assertEquals(404, response.statusCode());
        assertEquals("not-run", outcome(response));
    }

    @ParameterizedTest
    @ValueSource(strings = {"garbage that is no frame", "\0\0\0\4abcd", "\177\377\377\377"})
    void strangerAtThePeerPortIsCutOffAndCounted(String bytes) throws Exception {
        long before = counted();
        try (Socket socket = new Socket("127.0.0.1", mNode.peer())) {
            socket.setSoTimeout(10_000);
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
            InputStream in = socket.getInputStream();
            assertEquals(-1, in.read(), "the connection ends");
        }
        LocalMesh.await(() -> counted() > before);
        assertEquals(200, mMesh.send(print("after-" + bytes.hashCode())).statusCode());
    }

    private long counted() {
        try {
            return mMesh.metric(mNode, "peer.connections.strangers")
                    + mMesh.metric(mNode, "peer.frames.damaged");
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void callPastItsDeadlineIsNeverCalledNotRunIfItRan() throws Exception {
        List<HttpResponse<String>> responses = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            responses.add(mMesh.send(print("short-" + i).header(CallHeaders.TIMEOUT_MILLIS, "31")));
        }
        for (int i = 0; i < responses.size(); i++) {
            if (outcome(responses.get(i)).equals("not-run")) {
                assertEquals(0, runs("short-" + i));
            }
            assertTrue(runs("short-" + i) <= 1);
        }
    }

    /** A node that ends lets its calls end; callers of other nodes notice nothing. */
    @Test
    void gracefulShutdownCutsNoCall() throws Exception {
        Running leaving = mMesh.start("n3", Behaviour.good(6, 200));
        mMesh.awaitReady();
        List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            int port = i % 2 == 0 ? leaving.caller() : mOther.caller();
            calls.add(
                    mMesh.mClient.sendAsync(
                            HttpRequest.newBuilder(LocalMesh.uri(port, "/print"))
                                    .POST(HttpRequest.BodyPublishers.ofString("order"))
                                    .header(BackendHandler.REQUEST_ID, "drain-" + i)
                                    .build(),
                            HttpResponse.BodyHandlers.ofString()));
        }
        LocalMesh.await(() -> leaving.handler().runs().size() > 0);
        leaving.node().close();
        mMesh.mNodes.remove(leaving);
        for (int i = 0; i < calls.size(); i++) {
            HttpResponse<String> response = calls.get(i).get();
            String own = outcome(response);
            assertTrue(own.equals("answered") || own.equals("not-run"), own);
            int ran = runs("drain-" + i);
            var atLeaving = leaving.handler().runs().get("drain-" + i);
            ran += atLeaving == null ? 0 : atLeaving.get();
            assertEquals(own.equals("answered") ? 1 : 0, ran, "drain-" + i);
        }
        leaving.backend().stop();
    }
}
