package org.oriolewind.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.util.BufferUtil;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The end of a connection as a client reads it, after the server has written half a response. */
@Timeout(value = 20, unit = TimeUnit.SECONDS)
class ResponseEndPointTest {
    private static final String HALF = "half";
    private static final int UNREAD_BYTES = 100_000;
    private static final long MAX_RESPONSE_BYTES = 1000;

    /** Time for what the server did to reach the client's side of the loopback connection. */
    private static final long ARRIVAL_MILLIS = 50;

    private ServerSocketChannel mServer;
    private SocketChannel mChannel;
    private Socket mServerSide;
    private ResponseEndPoint mEndPoint;

    @BeforeEach
    void open() throws Exception {
        mServer = ServerSocketChannel.open();
        mServer.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        mChannel = SocketChannel.open(mServer.getLocalAddress());
        mServerSide = mServer.accept().socket();
        mChannel.configureBlocking(false);
        mEndPoint = new ResponseEndPoint(mChannel, null, null, null, MAX_RESPONSE_BYTES);
        mServerSide.getOutputStream().write(HALF.getBytes(StandardCharsets.US_ASCII));
        Thread.sleep(ARRIVAL_MILLIS);
    }

    @AfterEach
    void close() throws Exception {
        mChannel.close();
        mServerSide.close();
        mServer.close();
    }

    private int fill() throws IOException {
        ByteBuffer buffer = BufferUtil.allocate((int) MAX_RESPONSE_BYTES);
        return mEndPoint.fill(buffer);
    }

    private void reset() throws Exception {
        mServerSide.setSoLinger(true, 0);
        mServerSide.close();
        Thread.sleep(ARRIVAL_MILLIS);
    }

    @Test
    void endInOrderIsTheEndOfTheResponse() throws Exception {
        mServerSide.shutdownOutput();
        Thread.sleep(ARRIVAL_MILLIS);
        assertEquals(HALF.length(), fill());
        assertEquals(-1, fill());
        assertEquals(-1, fill());
    }

    @Test
    void endInOrderIsStillKnownAfterACloseOnThisSide() throws Exception {
        mServerSide.shutdownOutput();
        Thread.sleep(ARRIVAL_MILLIS);
        fill();
        assertEquals(-1, fill());
        mEndPoint.close();
        assertEquals(-1, fill());
    }

    /** Guards against half a response that looks whole because this side closed the connection. */
    @Test
    void closeOnThisSideIsNotTheEndOfTheResponse() throws Exception {
        fill();
        mEndPoint.close();
        assertThrows(IOException.class, this::fill);
    }

    /**
     * Guards against half a response that looks whole because a failed write has returned the only
     * error of the connection.
     */
    @Test
    void resetThatAWriteHasReportedIsNotTheEndOfTheResponse() throws Exception {
        fill();
        reset();
        assertThrows(IOException.class, () -> mChannel.write(ByteBuffer.allocate(1)));
        assertThrows(IOException.class, this::fill);
    }

    /** Guards against half a response that looks whole because the server's end came first. */
    @Test
    void resetAfterTheServersEndIsNotTheEndOfTheResponse() throws Exception {
        mChannel.write(ByteBuffer.allocate(UNREAD_BYTES));
        fill();
        mServerSide.shutdownOutput();
        reset();
        assertThrows(IOException.class, this::fill);
    }
}
