package org.oriolewind.config;

/**
 * Counts of the old version on one route while it still had traffic. Later steps of the move, and
 * the monitoring after its end, compare with them when the old version has too few calls.
 * Immutable.
 *
 * @param route the route's name, or {@link #ALL_ROUTES}
 * @param calls calls to the old version
 * @param failures failed calls to the old version
 * @param timedCalls calls whose latency was recorded
 * @param slow timed calls in buckets above the slow bucket
 * @param slowBucket the latency bucket beyond which a call counts as slow
 */
public record RouteBaseline(
        String route, long calls, long failures, long timedCalls, long slow, int slowBucket) {
    /** Route name for the calls of all routes of a service together. */
    public static final String ALL_ROUTES = "*";
}
