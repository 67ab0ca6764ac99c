package org.oriolewind.admission;

/** Rules by which the concurrency limit of a gate follows the backend server. Stateless. */
public enum LimitRule {
    /** The limit never changes. A baseline for comparisons. */
    FIXED {
        @Override
        public double next(LimitSample sample) {
            return sample.limit();
        }
    },

    /**
     * Additive increase, multiplicative decrease. A slow answer counts as overload. The limit grows
     * only while it is in use.
     */
    ADDITIVE {
        @Override
        public double next(LimitSample sample) {
            boolean slow = sample.latencyMicros() > sample.floorMicros() * SLOW_FACTOR;
            if (sample.overloaded() || slow) {
                return sample.limit() * DECREASE;
            }
            if (!inUse(sample)) {
                return sample.limit();
            }
            double step = sample.opening() ? OPENING_STEP : 1 / sample.limit();
            return sample.limit() + step;
        }
    },

    /**
     * Follows the ratio of the shortest recent latency to the present one, with room for a queue of
     * the limit's square root.
     */
    GRADIENT {
        @Override
        public double next(LimitSample sample) {
            if (sample.overloaded()) {
                return sample.limit() * DECREASE;
            }
            double ratio = TOLERANCE * sample.floorMicros() / Math.max(1.0, sample.latencyMicros());
            double gradient = Math.max(0.5, Math.min(1.0, ratio));
            double target = sample.limit() * gradient + Math.sqrt(sample.limit());
            if (target > sample.limit() && !inUse(sample)) {
                return sample.limit();
            }
            return sample.limit() + (target - sample.limit()) * SMOOTHING;
        }
    };

    private static final double SLOW_FACTOR = 2.5;
    private static final double DECREASE = 0.8;
    private static final double OPENING_STEP = 0.25;
    private static final double TOLERANCE = 1.5;
    private static final double SMOOTHING = 0.1;

    /**
     * Computes the next limit.
     *
     * @param sample the latest answer
     * @return the limit, not yet bounded
     */
    public abstract double next(LimitSample sample);

    private static boolean inUse(LimitSample sample) {
        return sample.inFlight() * 2 >= sample.limit();
    }
}
