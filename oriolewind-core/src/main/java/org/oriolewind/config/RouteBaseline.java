package org.oriolewind.config;

/**
 * What the old version did on one route while it still had traffic. A later step of the move, or
 * the watch after its end, compares with it when the old version has too few calls. Immutable.
 *
 * @param route the route's name, or {@link #ALL_ROUTES}
 * @param calls calls to the old version
 * @param failures failed calls among them
 * @param timedCalls calls whose latency counts
 * @param slow calls among these slower than the slow bucket
 * @param slowBucket the latency bucket beyond which a call counts as slow
 */
public record RouteBaseline(
        String route, long calls, long failures, long timedCalls, long slow, int slowBucket) {
    /** Stands for all routes of a service together. */
    public static final String ALL_ROUTES = "*";
}
