package org.oriolewind.node;

import org.eclipse.jetty.client.ProcessingProtocolHandler;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpStatus;

/**
 * Ignores all interim responses. Jetty's client has handlers for some of them, and for one {@code
 * 100 Continue} a request; it takes any other for the end of the response, but doesn't end the
 * call, which can't be aborted from then on. Stateless.
 */
final class InterimResponseHandler extends ProcessingProtocolHandler {
    private static final String HANDLER_NAME = "interim";

    @Override
    public String getName() {
        return HANDLER_NAME;
    }

    @Override
    public boolean accept(Request request, Response response) {
        return HttpStatus.isInterim(response.getStatus());
    }
}
