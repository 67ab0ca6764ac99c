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
    private JettyClientFactory() {}

    /**
     * Creates a client, which the caller starts and stops. A response on a connection that is reset
     * has failed, also if it has no length.
     *
     * @param threads runs the client
     */
    public static HttpClient newClient(Executor threads) {
        ClientConnector connector =
                new ClientConnector() {
                    @Override
                    protected EndPoint newEndPoint(
                            SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
                        return new ResponseEndPoint(
                                (SocketChannel) channel,
                                selector,
                                key,
                                getScheduler());
                    }
                };
        connector.setSelectors(1);
        connector.setExecutor(threads);
        HttpClient client = new HttpClient(new HttpClientTransportOverHTTP(connector));
        client.setExecutor(threads);
        client.setFollowRedirects(false);
        client.setUserAgentField(null);
        return client;
    }
}
