package org.oriolewind.loadbalancing;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.oriolewind.wire.CallAnswer;
import org.oriolewind.wire.CallOutcome;

/**
 * Estimates the service time of each route as a multiple of the mean service time of the backend
 * server that ran the call. A multiple stays valid when a backend server becomes slow, and also
 * applies to one that has just joined. Not thread-safe.
 */
final class RouteCosts {
    /** Weight of the latest call in the exponentially weighted moving average. */
    private static final double LATEST_WEIGHT = 0.1;

    private static final int SERVER_ERROR = 500;

    private final Map<String, Double> mMultiples = new HashMap<>();

    void onAnswer(String route, CallAnswer answer) {
        // A fast failure says nothing about the service time.
        boolean succeeded =
                answer.getOutcome() == CallOutcome.CALL_OUTCOME_ANSWERED
                        && answer.getStatus() < SERVER_ERROR;
        if (!succeeded || answer.getMeanServiceMicros() == 0) {
            return;
        }
        double multiple = (double) answer.getServiceMicros() / answer.getMeanServiceMicros();
        double average = multiple(route).orElse(multiple);
        mMultiples.put(route, average + (multiple - average) * LATEST_WEIGHT);
    }

    Optional<Double> multiple(String route) {
        return Optional.ofNullable(mMultiples.get(route));
    }
}
