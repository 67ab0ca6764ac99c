package org.oriolewind.policy;

/** What may be done with a request whose end is not known. */
public enum RetrySafety {
    /** May run more than once. */
    SAFE {
        @Override
        public boolean isIdempotent() {
            return true;
        }
    },
    /** Runs at most once. */
    UNSAFE {
        @Override
        public boolean isIdempotent() {
            return false;
        }
    };

    /**
     * Returns whether a request that may have run can be sent again.
     *
     * @return true if it does no harm to run it twice
     */
    public abstract boolean isIdempotent();
}
