package org.oriolewind.standins;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.EOFException;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.oriolewind.cli.replay.Invariant;
import org.oriolewind.cli.replay.Trace;
import org.oriolewind.cli.timeline.TimelineReader;
import org.oriolewind.standins.LocalMesh.RunningNode;
import org.oriolewind.standins.backend.BackendBehaviour;

/**
 * A planned stop of a node while callers keep opening connections to it. Each request that the node
 * has read is answered, and the node reports its stop after the last answer.
 */
class ShutdownUnderLoadTest {
    private static final int CALLERS = 12;
    private static final int WORK_MILLIS = 150;
    private static final int SOCKET_TIMEOUT_MILLIS = 20_000;

    @TempDir Path mDirectory;
    private LocalMesh mMesh;
    private RunningNode mNode;
    private final AtomicInteger mAnswered = new AtomicInteger();
    private final AtomicInteger mUnanswered = new AtomicInteger();
    private volatile boolean mNodeStopped;

    @BeforeEach
    void start() throws Exception {
        mMesh = new LocalMesh();
        mMesh.start("stays", BackendBehaviour.healthy(CALLERS * 2, WORK_MILLIS));
        mNode =
                mMesh.start(
                        "stops",
                        BackendBehaviour.healthy(CALLERS * 2, WORK_MILLIS),
                        mDirectory.resolve("events").toString());
        mMesh.awaitReady();
    }

    @AfterEach
    void stop() throws Exception {
        mMesh.close();
    }

    @Test
    void eachRequestThatWasReadIsAnswered() throws Exception {
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            Thread caller = new Thread(this::callUntilNodeStops);
            caller.start();
            callers.add(caller);
        }
        LocalMesh.await(() -> mAnswered.get() > CALLERS);
        mNode.node().close();
        mNodeStopped = true;
        for (Thread caller : callers) {
            caller.join();
        }
        mNode.backendServer().stop();
        mMesh.mNodes.remove(mNode);
        Trace trace = new Trace(TimelineReader.read(List.of(mDirectory.resolve("events"))));
        assertEquals(List.of(), Invariant.SHUTDOWN_CUTS_NONE.check(trace));
        assertEquals(0, mUnanswered.get(), "requests without a complete answer");
    }

    private void callUntilNodeStops() {
        while (!mNodeStopped) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress("127.0.0.1", mNode.callerPort()));
                socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
                callOnce(socket);
            } catch (ConnectException e) {
                return;
            } catch (IOException e) {
                mUnanswered.incrementAndGet();
            }
        }
    }

    private void callOnce(Socket socket) throws IOException {
        byte[] request =
                "GET /lookup HTTP/1.1\r\nHost: mesh\r\nConnection: close\r\n\r\n"
                        .getBytes(StandardCharsets.US_ASCII);
        byte[] answer;
        try {
            socket.getOutputStream().write(request);
            answer = socket.getInputStream().readAllBytes();
        } catch (SocketException e) {
            // The connection was in the accept queue of the socket that the node has closed; no
            // request was read from it.
            return;
        }
        if (answer.length == 0) {
            throw new EOFException("connection closed without an answer");
        }
        mAnswered.incrementAndGet();
    }
}
