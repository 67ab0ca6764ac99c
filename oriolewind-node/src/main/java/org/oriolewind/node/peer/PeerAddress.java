package org.oriolewind.node.peer;

import java.net.InetSocketAddress;
import java.util.Optional;

/** Addresses of the form {@code host:port}. Stateless. */
public final class PeerAddress {
    private static final int MAX_PORT = 65_535;

    private PeerAddress() {}

    /**
     * Reads an address.
     *
     * @param text the text
     * @return the address, or empty if the text is none
     */
    public static Optional<InetSocketAddress> parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            return Optional.empty();
        }
        String host = text.substring(0, colon);
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (port < 1 || port > MAX_PORT || host.contains("/") || host.contains(" ")) {
                return Optional.empty();
            }
            return Optional.of(new InetSocketAddress(host, port));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    /**
     * Writes an address as text.
     *
     * @param address the address
     * @return host and port, joined by a colon
     */
    public static String text(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }
}
