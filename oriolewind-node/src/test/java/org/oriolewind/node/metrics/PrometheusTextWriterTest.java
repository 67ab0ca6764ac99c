package org.oriolewind.node.metrics;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.Test;

class PrometheusTextWriterTest {
    @Test
    void writesOneTypeLineForAllLabelsOfAName() {
        MetricRegistry registry = new MetricRegistry();
        registry.counter("sent_bytes_total{kind=\"a\"}").inc(3);
        registry.counter("sent_bytes_total{kind=\"b\"}").inc(4);
        assertEquals(
                """
                # TYPE oriolewind_sent_bytes_total counter
                oriolewind_sent_bytes_total{kind="a"} 3
                oriolewind_sent_bytes_total{kind="b"} 4
                """,
                PrometheusTextWriter.write(registry));
    }

    @Test
    void writesEventLoopDelayHeapAndGarbageCollection() {
        MetricRegistry registry = new MetricRegistry();
        ProcessMetrics metrics = new ProcessMetrics(registry);
        metrics.onLoopDelay(7);
        String text = PrometheusTextWriter.write(registry);
        assertTrue(text.contains("oriolewind_event_loop_delay_milliseconds_max 7\n"), text);
        assertTrue(text.contains("# TYPE oriolewind_heap_used_bytes gauge\n"), text);
        assertTrue(
                text.contains("# TYPE oriolewind_garbage_collection_milliseconds_total counter\n"),
                text);
        assertTrue(text.contains("oriolewind_garbage_collection_milliseconds_total "), text);
    }
}
