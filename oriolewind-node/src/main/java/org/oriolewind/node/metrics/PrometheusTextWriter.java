package org.oriolewind.node.metrics;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.util.Locale;

/**
 * Writes metrics in the Prometheus text exposition format, with the prefix {@code oriolewind_}.
 * Names in the registry include the labels, as in {@code peer_sent_bytes_total{kind="calls"}}.
 * Stateless.
 */
public final class PrometheusTextWriter {
    private static final String PREFIX = "oriolewind_";
    private static final String COUNTER_SUFFIX = "_total";
    private static final double[] QUANTILES = {0.5, 0.9, 0.99};

    private PrometheusTextWriter() {}

    /** Formats all gauges, counters and histograms of a registry; histograms become summaries. */
    public static String write(MetricRegistry registry) {
        Lines lines = new Lines();
        registry.getGauges()
                .forEach((name, gauge) -> lines.add(name, type(name), gauge.getValue().toString()));
        registry.getCounters()
                .forEach(
                        (name, counter) ->
                                lines.add(name, "counter", Long.toString(counter.getCount())));
        registry.getHistograms()
                .forEach(
                        (name, histogram) ->
                                lines.addSummary(
                                        name, histogram.getSnapshot(), histogram.getCount()));
        return lines.mText.toString();
    }

    /** Returns {@code counter} for a gauge that exposes a count kept elsewhere, by its name. */
    private static String type(String name) {
        return name.endsWith(COUNTER_SUFFIX) ? "counter" : "gauge";
    }

    private static final class Lines {
        final StringBuilder mText = new StringBuilder();
        private String mLatest = "";

        void add(String name, String type, String value) {
            begin(name, type);
            mText.append(PREFIX).append(name).append(' ').append(value).append('\n');
        }

        void addSummary(String name, Snapshot snapshot, long count) {
            begin(name, "summary");
            for (double quantile : QUANTILES) {
                mText.append(
                        String.format(
                                Locale.ROOT,
                                "%s%s{quantile=\"%s\"} %.0f%n",
                                PREFIX,
                                name,
                                quantile,
                                snapshot.getValue(quantile)));
            }
            mText.append(PREFIX).append(name).append("_max ").append(snapshot.getMax());
            mText.append('\n').append(PREFIX).append(name).append("_count ").append(count);
            mText.append('\n');
        }

        private void begin(String name, String type) {
            int labels = name.indexOf('{');
            String family = labels < 0 ? name : name.substring(0, labels);
            if (!family.equals(mLatest)) {
                mLatest = family;
                mText.append("# TYPE ").append(PREFIX).append(family).append(' ');
                mText.append(type).append('\n');
            }
        }
    }
}
