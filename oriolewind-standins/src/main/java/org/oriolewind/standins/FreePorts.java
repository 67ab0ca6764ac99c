package org.oriolewind.standins;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Allocates ports that are free on loopback, each at most once. They lie below the range from which
 * the operating system assigns ephemeral ports, so that no outgoing connection occupies a port
 * between its allocation and its use. Thread-safe.
 */
public final class FreePorts {
    private static final int FIRST_PORT = 11_000;
    private static final int END_PORT = 31_000;
    private static final int MAX_ATTEMPTS = 1000;

    private final Set<Integer> mAllocated = new HashSet<>();

    /**
     * Allocates a port from 11000 to 30999.
     *
     * @throws IOException if no free port is found in 1000 attempts
     */
    public synchronized int next() throws IOException {
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, END_PORT);
            if (isFree(port) && mAllocated.add(port)) {
                return port;
            }
        }
        throw new IOException("no free port from " + FIRST_PORT + " to " + END_PORT);
    }

    /**
     * Allocates two adjacent ports.
     *
     * @return the lower of the two ports
     * @throws IOException if no free pair is found in 1000 attempts
     */
    public synchronized int nextPair() throws IOException {
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            int port = next();
            if (isFree(port + 1) && mAllocated.add(port + 1)) {
                return port;
            }
        }
        throw new IOException("no two adjacent free ports from " + FIRST_PORT + " to " + END_PORT);
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
