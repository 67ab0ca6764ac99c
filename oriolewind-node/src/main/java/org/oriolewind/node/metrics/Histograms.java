package org.oriolewind.node.metrics;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.UniformReservoir;

/** Makes histograms whose samples take little memory. Stateless. */
public final class Histograms {
    /** Samples kept, enough for a 99th percentile. */
    private static final int SAMPLES = 256;

    private Histograms() {}

    /**
     * Makes a histogram.
     *
     * @param registry the registry to enter it in
     * @param name its name there
     * @return the histogram
     */
    public static Histogram register(MetricRegistry registry, String name) {
        return registry.register(name, new Histogram(new UniformReservoir(SAMPLES)));
    }
}
