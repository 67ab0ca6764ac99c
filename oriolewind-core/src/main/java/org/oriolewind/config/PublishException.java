package org.oriolewind.config;

import org.oriolewind.error.OperationException;

/** A change that was not brought into force, or of which that is not known. Immutable. */
public final class PublishException extends OperationException {
    private static final long serialVersionUID = 1L;

    /** Why the change is not known to be in force. */
    public enum Reason {
        /** Another operator's note came first; nothing was published. */
        LOST_RACE,
        /** The platform can't be reached; nothing was published. */
        UNREACHABLE,
        /** The platform's answer was lost and the head can't be read back. */
        OUTCOME_UNKNOWN
    }

    private final Reason mReason;

    /**
     * Creates an error.
     *
     * @param reason why
     * @param peer the platform's address
     * @param message what happened
     * @param cause the underlying error, or null
     */
    public PublishException(Reason reason, String peer, String message, Throwable cause) {
        super("publish", peer, message, cause);
        mReason = reason;
    }

    /**
     * Returns why the change is not known to be in force.
     *
     * @return the reason
     */
    public Reason reason() {
        return mReason;
    }
}
