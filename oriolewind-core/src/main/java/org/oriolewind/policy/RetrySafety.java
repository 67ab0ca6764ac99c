package org.oriolewind.policy;

/** Whether the requests of a route may be retried when their outcome is unknown. */
public enum RetrySafety {
    /** Idempotent: a request may run more than once. */
    SAFE {
        @Override
        public boolean isIdempotent() {
            return true;
        }
    },
    /** Not idempotent: a request must run at most once. */
    UNSAFE {
        @Override
        public boolean isIdempotent() {
            return false;
        }
    };

    /**
     * Returns whether a request that may have run can be retried.
     *
     * @return true if running it twice does no harm
     */
    public abstract boolean isIdempotent();
}
