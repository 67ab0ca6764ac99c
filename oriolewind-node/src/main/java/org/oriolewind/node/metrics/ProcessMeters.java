package org.oriolewind.node.metrics;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;

/**
 * How well the process gets on: heap, garbage collection and the delay of its event loop. Safe for
 * use by several threads.
 */
public final class ProcessMeters {
    private final Histogram mLoopDelayMillis;

    /**
     * Creates the metrics.
     *
     * @param registry the registry to enter them in
     */
    public ProcessMeters(MetricRegistry registry) {
        Runtime runtime = Runtime.getRuntime();
        mLoopDelayMillis = Histograms.register(registry, "event_loop_delay_milliseconds");
        registry.register(
                "heap_used_bytes",
                (Gauge<Long>) () -> runtime.totalMemory() - runtime.freeMemory());
        registry.register("heap_max_bytes", (Gauge<Long>) runtime::maxMemory);
        registry.register(
                "garbage_collection_milliseconds_total",
                (Gauge<Long>) ProcessMeters::collectionMillis);
    }

    /** The management classes are loaded when the first reader asks; few nodes are ever read. */
    private static long collectionMillis() {
        return ManagementFactory.getGarbageCollectorMXBeans().stream()
                .mapToLong(GarbageCollectorMXBean::getCollectionTime)
                .sum();
    }

    /**
     * Takes how late a periodic task of the event loop ran.
     *
     * @param millis the delay in milliseconds
     */
    public void onLoopDelay(long millis) {
        mLoopDelayMillis.update(Math.max(0, millis));
    }
}
