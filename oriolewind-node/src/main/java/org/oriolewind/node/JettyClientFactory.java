package org.oriolewind.node;

import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.Executor;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;

/** Creates Jetty clients that limit what a faulty server can make them read. Stateless. */
public final class JettyClientFactory {
    private static final int MAX_HEADER_BYTES = 32_768;

    private JettyClientFactory() {}

    /**
     * Creates a client, which the caller starts and stops. A response on a connection that is reset
     * has failed, also if it has no length.
     *
     * @param threads runs the client
     * @param maxResponseBytes bytes that a server may send after a request, whether or not they
     *     form a response
     */
    public static HttpClient newClient(Executor threads, long maxResponseBytes) {
        ClientConnector connector =
                new ClientConnector() {
                    @Override
                    protected EndPoint newEndPoint(
                            SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
                        return new ResponseEndPoint(
                                (SocketChannel) channel,
                                selector,
                                key,
                                getScheduler(),
                                maxResponseBytes);
                    }
                };
        connector.setSelectors(1);
        connector.setExecutor(threads);
        HttpClient client = new HttpClient(new HttpClientTransportOverHTTP(connector));
        client.setExecutor(threads);
        // The first handler that accepts a response is used; the client adds its own at its start.
        client.getProtocolHandlers().put(new InterimResponseHandler());
        client.setMaxResponseHeadersSize(MAX_HEADER_BYTES);
        client.setFollowRedirects(false);
        client.setUserAgentField(null);
        return client;
    }
}
