package org.oriolewind.cli;

import org.oriolewind.error.OperationException;

/** A command that did not succeed, with its exit status. Immutable. */
public final class CliException extends OperationException {
    private static final long serialVersionUID = 1L;

    private final ExitStatus mStatus;

    /**
     * Creates an error.
     *
     * @param status the exit status
     * @param step what was being done
     * @param message what went wrong, for a person
     * @param cause the underlying error, or null
     */
    public CliException(ExitStatus status, String step, String message, Throwable cause) {
        super(step, "local", message, cause);
        mStatus = status;
    }

    /**
     * Returns the exit status.
     *
     * @return the status
     */
    public ExitStatus status() {
        return mStatus;
    }
}
