package org.oriolewind.analysis;

/**
 * Bounds of the latency buckets in evidence reports. Each bucket is wider than the one before by
 * the square root of two, from half a millisecond to some eight seconds. Stateless.
 */
public final class LatencyBuckets {
    /** Number of buckets. */
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
     * Returns the bucket of a latency.
     *
     * @param micros the latency in microseconds
     * @return the index of the first bucket whose bound is not exceeded, or the last
     */
    public static int indexOf(long micros) {
        int index = 0;
        while (index < COUNT - 1 && micros > BOUNDS_MICROS[index]) {
            index++;
        }
        return index;
    }
}
