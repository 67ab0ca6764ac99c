package org.oriolewind.node.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.oriolewind.node.JettyClientFactory;
import org.oriolewind.platform.PlatformException;
import org.oriolewind.platform.WatchBatch;

/** Lists and watches whose response has no length and is cut. */
class HttpObjectStoreTest {
    private static final int TIMEOUT_MILLIS = 5000;
    private static final long ARRIVAL_MILLIS = 2;
    private static final String HEAD = "HTTP/1.1 200 OK\r\n\r\n";
    private static final String BATCH =
            "{\"objects\":[{\"key\":\"a\",\"version\":1,\"value\":\"e30=\"},"
                    + "{\"key\":\"b\",\"version\":2,\"value\":\"e30=\"}],\"revision\":7}";

    private final ExecutorService mThreads = Executors.newCachedThreadPool();
    private final HttpClient mClient = JettyClientFactory.newClient(mThreads, 1 << 20);
    private ServerSocket mServer;
    private HttpObjectStore mStore;

    @BeforeEach
    void open() throws Exception {
        mServer = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        mServer.setSoTimeout(TIMEOUT_MILLIS);
        mClient.start();
        String url = "http://127.0.0.1:" + mServer.getLocalPort();
        mStore = new HttpObjectStore(mClient, url, Duration.ofMillis(TIMEOUT_MILLIS));
    }

    @AfterEach
    void close() throws Exception {
        mClient.stop();
        mThreads.shutdownNow();
        mServer.close();
    }

    private WatchBatch read(boolean watch, String response, boolean reset) throws Exception {
        Callable<WatchBatch> call =
                watch
                        ? () -> mStore.watch("x", 6, Duration.ofMillis(TIMEOUT_MILLIS))
                        : () -> mStore.list("x");
        Future<WatchBatch> batch = mThreads.submit(call);
        respond(response, reset);
        return batch.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void respond(String response, boolean reset) throws Exception {
        try (Socket socket = mServer.accept()) {
            socket.setSoTimeout(TIMEOUT_MILLIS);
            BufferedReader reader =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.US_ASCII));
            while (!reader.readLine().isEmpty()) {
                // The request is not examined.
                continue;
            }
            socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
            if (reset) {
                Thread.sleep(ARRIVAL_MILLIS);
                socket.setSoLinger(true, 0);
            }
        } catch (IOException e) {
            throw new AssertionError("request must be read", e);
        }
    }

    /** Guards against objects that are dropped because their list was cut. */
    @ParameterizedTest
    @CsvSource({"false, false", "false, true", "true, false", "true, true"})
    void batchThatIsCutIsAFailure(boolean watch, boolean reset) throws Exception {
        for (int length = 0; length < BATCH.length(); length++) {
            String cut = HEAD + BATCH.substring(0, length);
            ExecutionException failure =
                    assertThrows(ExecutionException.class, () -> read(watch, cut, reset), cut);
            assertEquals(PlatformException.class, failure.getCause().getClass(), cut);
        }
        assertEquals(2, read(watch, HEAD + BATCH, false).objects().size());
    }

    /** Guards against a response that is taken for whole although its connection was reset. */
    @ParameterizedTest
    @CsvSource({"false", "true"})
    void batchWithoutLengthThatIsResetIsAFailure(boolean watch) {
        assertThrows(ExecutionException.class, () -> read(watch, HEAD + BATCH, true));
    }
}
