package org.oriolewind.policy;

/** What may be done with a request whose end is not known. */
public enum RequestKind {
    /** May run more than once. */
    SAFE {
        @Override
        public boolean mayRunAgain() {
            return true;
        }
    },
    /** Runs at most once. */
    UNSAFE {
        @Override
        public boolean mayRunAgain() {
            return false;
        }
    };

    /**
     * Returns whether a request that may have run can be sent again.
     *
     * @return true if it does no harm to run it twice
     */
    public abstract boolean mayRunAgain();
}
