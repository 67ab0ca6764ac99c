package org.oriolewind.cli;

import org.oriolewind.error.OperationException;

/** A failure of a command, with the exit status to return. Immutable. */
public final class CliException extends OperationException {
    private static final long serialVersionUID = 1L;

    private final ExitStatus mStatus;

    /**
     * Creates an exception whose peer is {@code local}.
     *
     * @param status the exit status of the process
     * @param operation the operation that failed, such as {@code read events}
     * @param message what went wrong, shown to the operator
     * @param cause the underlying error, or null
     */
    public CliException(ExitStatus status, String operation, String message, Throwable cause) {
        super(operation, "local", message, cause);
        mStatus = status;
    }

    /** Returns the exit status with which the process ends. */
    public ExitStatus status() {
        return mStatus;
    }
}
