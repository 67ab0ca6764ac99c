package org.oriolewind.dispatch;

import java.util.function.Supplier;

/** Records the retries and the end of requests. Implementations never block. */
public interface RequestLog {
    /**
     * Records the end of a request.
     *
     * @param route name of the matching route, empty if none matches
     * @param outcome one of {@code answered}, {@code refused}, {@code cancelled}, {@code unknown},
     *     {@code timed out} and {@code not found}
     * @param detail supplies the inputs of the decision; evaluated only if a line is written
     * @param millis time since the request was received
     */
    void ended(
            ClientRequest request,
            String route,
            String outcome,
            Supplier<String> detail,
            long millis);

    /**
     * Records that an attempt failed and that the request is retried on another node.
     *
     * @param requestId the request ID
     * @param node name of the node that the failed attempt was sent to
     * @param reason why the attempt failed
     */
    void retried(String requestId, String node, String reason);

    /**
     * Records that a request forwarded to the backend server beside this node ended without a
     * complete response.
     *
     * @param requestId the request ID
     * @param instance the instance ID of the backend server
     * @param reason how the request ended
     * @param millis time since the request was forwarded
     */
    void failedLocally(String requestId, String instance, String reason, long millis);

    /**
     * Records a response of the backend server beside this node that was dropped, or whose bytes
     * don't show that it is complete.
     *
     * @param requestId ID of the request in progress
     * @param instance the instance ID of the backend server
     * @param kind what is unusual about the response
     * @param detail what the response said and how it ended
     */
    void unusualResponse(
            String requestId, String instance, UnusualResponse kind, Supplier<String> detail);
}
