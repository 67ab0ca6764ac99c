package org.oriolewind.platform;

import org.oriolewind.error.OperationException;

/** A call to the platform that did not succeed. Immutable. */
public final class PlatformException extends OperationException {
    private static final long serialVersionUID = 1L;

    /** What is known about the call. */
    public enum Kind {
        /** The platform refused the call or could not be reached; a write had no effect. */
        UNAVAILABLE(false),
        /** The condition of a write did not hold; the write had no effect. */
        CONFLICT(false),
        /** The answer to a write was lost; it may have had its effect. */
        OUTCOME_UNKNOWN(true),
        /** The platform's or our own rate limit was reached; the call had no effect. */
        RATE_LIMITED(false),
        /** The value is larger than the platform holds; the write had no effect. */
        TOO_LARGE(false),
        /** The watch asked for changes older than the platform keeps. */
        COMPACTED(false),
        /** The platform sent something that can't be read. */
        MALFORMED_RESPONSE(true);

        private final boolean mMayHaveEffect;

        Kind(boolean mayHaveEffect) {
            mMayHaveEffect = mayHaveEffect;
        }

        /**
         * Returns whether a failed write may have had its effect.
         *
         * @return true if the object has to be read back
         */
        public boolean mayHaveEffect() {
            return mMayHaveEffect;
        }
    }

    private final Kind mKind;

    /**
     * Creates an error.
     *
     * @param kind what is known about the call
     * @param step the call, such as {@code put lease/yaba}
     * @param peer the platform's address
     * @param message what went wrong
     * @param cause the underlying error, or null
     */
    public PlatformException(Kind kind, String step, String peer, String message, Throwable cause) {
        super(step, peer, message, cause);
        mKind = kind;
    }

    /**
     * Returns what is known about the call.
     *
     * @return the kind, never null
     */
    public Kind kind() {
        return mKind;
    }
}
