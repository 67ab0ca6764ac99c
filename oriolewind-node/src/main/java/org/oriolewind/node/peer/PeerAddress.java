package org.oriolewind.node.peer;

import io.netty.util.NetUtil;
import java.net.InetSocketAddress;
import java.util.Optional;

/** Parses and formats node addresses of the form {@code host:port}. Stateless. */
public final class PeerAddress {
    private static final int MAX_PORT = 65_535;

    private PeerAddress() {}

    /**
     * Parses an address. A host name is resolved, which may block.
     *
     * @param text host and port, joined by a colon
     * @return the address, or empty if the text is malformed or the port is not in 1 to 65535
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
     * Parses an address whose host is an IP address, so that nothing is resolved.
     *
     * @param text IP address and port, joined by a colon
     * @return the address, or empty if the host is no IP address or the port is not in 1 to 65535
     */
    public static Optional<InetSocketAddress> parseIp(String text) {
        String host = text.substring(0, Math.max(0, text.lastIndexOf(':')));
        boolean numeric = NetUtil.isValidIpV4Address(host) || NetUtil.isValidIpV6Address(host);
        return numeric ? parse(text) : Optional.empty();
    }

    /**
     * Formats an address without resolving it.
     *
     * @return host and port, joined by a colon
     */
    public static String text(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }
}
