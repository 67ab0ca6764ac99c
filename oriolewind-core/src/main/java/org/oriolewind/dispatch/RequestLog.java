package org.oriolewind.dispatch;

/** Takes what is decided on requests. Implementations never block. */
public interface RequestLog {
    /**
     * A request ended.
     *
     * @param request the request
     * @param route its route, empty if none
     * @param outcome what became of it
     * @param detail the inputs that decided it
     * @param millis time since it came
     */
    void ended(ClientRequest request, String route, String outcome, String detail, long millis);

    /**
     * A sending of a request failed and it goes on elsewhere.
     *
     * @param requestId the request's id
     * @param node the node it was sent to
     * @param reason why it goes on
     */
    void sentAgain(String requestId, String node, String reason);
}
