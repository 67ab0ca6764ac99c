package org.oriolewind.analysis;

/**
 * Upper bounds of the latency buckets in evidence reports. Each bound exceeds the one before by a
 * factor of the square root of two, from half a millisecond to about eight seconds; the last bucket
 * holds all slower calls. Stateless.
 */
public final class LatencyBuckets {
    /** Number of buckets. Nodes ignore further buckets of a report. */
    public static final int COUNT = 30;

    private static final double FIRST_BOUND_MICROS = 500;
    private static final long[] BOUNDS_MICROS = bounds();

    private LatencyBuckets() {}

    private static long[] bounds() {
        long[] bounds = new long[COUNT];
        for (int i = 0; i < COUNT; i++) {
            bounds[i] = Math.round(FIRST_BOUND_MICROS * Math.pow(2, i / 2.0));
        }
        return bounds;
    }

    /**
     * Returns the index of the bucket for a latency.
     *
     * @param micros the latency in microseconds
     * @return the first bucket whose bound is not exceeded, or the last bucket
     */
    public static int indexOf(long micros) {
        int index = 0;
        while (index < COUNT - 1 && micros > BOUNDS_MICROS[index]) {
            index++;
        }
        return index;
    }
}
