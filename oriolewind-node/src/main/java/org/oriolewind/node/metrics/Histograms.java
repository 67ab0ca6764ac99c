package org.oriolewind.node.metrics;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.UniformReservoir;

/** Creates histograms that take little memory. Stateless. */
public final class Histograms {
    /** Number of samples kept, enough for a 99th percentile. */
    private static final int SAMPLES = 256;

    private Histograms() {}

    /**
     * Creates and registers a histogram over a uniform sample of all values since the start.
     *
     * @param registry must not hold the name yet
     * @param name name of the metric, with its unit
     */
    public static Histogram register(MetricRegistry registry, String name) {
        return registry.register(name, new Histogram(new UniformReservoir(SAMPLES)));
    }
}
