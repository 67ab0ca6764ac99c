package org.oriolewind.loadbalancing;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.oriolewind.wire.CallAnswer;
import org.oriolewind.wire.CallOutcome;

/**
 * How much time the calls of a route take, as a multiple of the mean of the backend server that ran
 * them. The multiple holds when a backend server turns slow, and for one that has just joined. Not
 * safe for use by several threads.
 */
final class RouteCosts {
    /** Weight of the latest call. */
    private static final double LATEST_WEIGHT = 0.1;

    private static final int SERVER_ERROR = 500;

    private final Map<String, Double> mMultiples = new HashMap<>();

    void onAnswer(String route, CallAnswer answer) {
        // A quick failure says nothing about how long the work takes.
        boolean served =
                answer.getOutcome() == CallOutcome.CALL_OUTCOME_ANSWERED
                        && answer.getStatus() < SERVER_ERROR;
        if (!served || answer.getMeanServiceMicros() == 0) {
            return;
        }
        double multiple = (double) answer.getServiceMicros() / answer.getMeanServiceMicros();
        double old = multiple(route).orElse(multiple);
        mMultiples.put(route, old + (multiple - old) * LATEST_WEIGHT);
    }

    Optional<Double> multiple(String route) {
        return Optional.ofNullable(mMultiples.get(route));
    }
}
