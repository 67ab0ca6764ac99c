package org.oriolewind.dispatch;

import java.util.function.Supplier;

/** Takes what is decided on requests. Implementations never block. */
public interface RequestLog {
    /**
     * A request ended.
     *
     * @param request the request
     * @param route its route, empty if none
     * @param outcome what became of it
     * @param detail makes the inputs that decided it, if a line is written
     * @param millis time since it came
     */
    void ended(
            ClientRequest request,
            String route,
            String outcome,
            Supplier<String> detail,
            long millis);

    /**
     * A sending of a request failed and it goes on elsewhere.
     *
     * @param requestId the request's id
     * @param node the node it was sent to
     * @param reason why it goes on
     */
    void retried(String requestId, String node, String reason);

    /**
     * A request that was handed to the backend server beside this node ended without a whole
     * answer.
     *
     * @param requestId the request's id
     * @param instance the backend server
     * @param reason what is known of the end
     * @param millis time since it was handed over
     */
    void failedLocally(String requestId, String instance, String reason, long millis);
}
