package org.oriolewind.node.metrics;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;

/** Metrics of the process: heap, garbage collection and event loop delay. Thread-safe. */
public final class ProcessMetrics {
    private final Histogram mLoopDelayMillis;

    /**
     * Registers the metrics.
     *
     * @param registry must not hold them yet
     */
    public ProcessMetrics(MetricRegistry registry) {
        Runtime runtime = Runtime.getRuntime();
        mLoopDelayMillis = Histograms.register(registry, "event_loop_delay_milliseconds");
        registry.register(
                "heap_used_bytes",
                (Gauge<Long>) () -> runtime.totalMemory() - runtime.freeMemory());
        registry.register("heap_max_bytes", (Gauge<Long>) runtime::maxMemory);
        registry.register(
                "garbage_collection_milliseconds_total",
                (Gauge<Long>) ProcessMetrics::collectionMillis);
    }

    /** Loads the management classes at the first query only; few nodes are ever queried. */
    private static long collectionMillis() {
        return ManagementFactory.getGarbageCollectorMXBeans().stream()
                .mapToLong(GarbageCollectorMXBean::getCollectionTime)
                .sum();
    }

    /**
     * Records the delay of a periodic task on the event loop.
     *
     * @param millis delay in milliseconds; a negative one counts as 0
     */
    public void onLoopDelay(long millis) {
        mLoopDelayMillis.update(Math.max(0, millis));
    }
}
