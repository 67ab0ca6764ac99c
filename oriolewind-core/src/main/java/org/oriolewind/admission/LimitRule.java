package org.oriolewind.admission;

/**
 * Rules that adapt the concurrency limit of an admission gate to the answers of the backend server.
 * Stateless.
 */
public enum LimitRule {
    /** The limit never changes; a baseline to compare the other rules with. */
    FIXED {
        @Override
        public double next(LimitSample sample) {
            return sample.limit();
        }
    },

    /**
     * Additive increase, multiplicative decrease (AIMD). An answer that takes more than {@value
     * #SLOW_LATENCY_RATIO} times the minimum latency counts as overload. The limit increases only
     * while at least half of it is in use.
     */
    ADDITIVE {
        @Override
        public double next(LimitSample sample) {
            boolean slow = sample.latencyMicros() > sample.minLatencyMicros() * SLOW_LATENCY_RATIO;
            if (sample.overloaded() || slow) {
                return sample.limit() * DECREASE_FACTOR;
            }
            if (!isUtilized(sample)) {
                return sample.limit();
            }
            double step = sample.rampingUp() ? RAMP_UP_STEP : 1 / sample.limit();
            return sample.limit() + step;
        }
    },

    /**
     * Scales the limit by the ratio of the shortest recent latency to the current one and adds the
     * square root of the limit as room for queueing. The limit increases only while at least half
     * of it is in use.
     */
    GRADIENT {
        @Override
        public double next(LimitSample sample) {
            if (sample.overloaded()) {
                return sample.limit() * DECREASE_FACTOR;
            }
            double ratio =
                    LATENCY_TOLERANCE
                            * sample.minLatencyMicros()
                            / Math.max(1.0, sample.latencyMicros());
            double gradient = Math.max(0.5, Math.min(1.0, ratio));
            double target = sample.limit() * gradient + Math.sqrt(sample.limit());
            if (target > sample.limit() && !isUtilized(sample)) {
                return sample.limit();
            }
            return sample.limit() + (target - sample.limit()) * SMOOTHING;
        }
    };

    private static final double SLOW_LATENCY_RATIO = 2.5;
    private static final double DECREASE_FACTOR = 0.8;
    private static final double RAMP_UP_STEP = 0.25;
    private static final double LATENCY_TOLERANCE = 1.5;
    private static final double SMOOTHING = 0.1;

    /**
     * Computes the limit that follows from an answer.
     *
     * @param sample the latest answer and the current limit
     * @return the new limit, not yet clamped to the bounds of the gate
     */
    public abstract double next(LimitSample sample);

    private static boolean isUtilized(LimitSample sample) {
        return sample.inFlight() * 2 >= sample.limit();
    }
}
