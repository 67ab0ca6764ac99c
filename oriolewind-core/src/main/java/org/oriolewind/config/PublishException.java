package org.oriolewind.config;

import org.oriolewind.error.OperationException;

/** A change was not published, or it is not certain whether it was. Immutable. */
public final class PublishException extends OperationException {
    private static final long serialVersionUID = 1L;

    /** Why the change was not published, or why that is not certain. */
    public enum Reason {
        /** Others changed the configuration at the same time; this change was not published. */
        LOST_RACE,
        /** The platform can't be reached; nothing was published. */
        UNREACHABLE,
        /** The platform's response was lost and the head can't be read back. */
        OUTCOME_UNKNOWN
    }

    private final Reason mReason;

    /**
     * Creates an exception.
     *
     * @param reason the kind of failure
     * @param peer the platform's address
     * @param message what happened
     * @param cause the underlying error, or null
     */
    public PublishException(Reason reason, String peer, String message, Throwable cause) {
        super("publish", peer, message, cause);
        mReason = reason;
    }

    /**
     * Returns why the change was not published, or why that is not certain.
     *
     * @return the reason, never null
     */
    public Reason reason() {
        return mReason;
    }
}
