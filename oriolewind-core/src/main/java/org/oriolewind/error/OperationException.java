package org.oriolewind.error;

/**
 * Base class of the checked exceptions of this project. It names the operation that failed, which
 * is labelled {@code step} in the message, and the peer that was involved.
 *
 * <p>Instances are immutable and thread-safe.
 */
public abstract class OperationException extends Exception {
    private static final long serialVersionUID = 1L;

    private final String mOperation;
    private final String mPeer;

    /**
     * Creates an exception.
     *
     * @param operation the operation, such as {@code get mesh/config}
     * @param peer the address or name of the other side, or {@code local}
     * @param message the failure
     * @param cause the underlying error, or null
     */
    protected OperationException(String operation, String peer, String message, Throwable cause) {
        super(text(operation, peer, message, cause), cause);
        mOperation = operation;
        mPeer = peer;
    }

    private static String text(String operation, String peer, String message, Throwable cause) {
        String reason = cause == null ? "" : ": " + cause.getMessage();
        return message + " (step: " + operation + ", peer: " + peer + ")" + reason;
    }

    /**
     * Returns the operation that failed.
     *
     * @return the operation, never null
     */
    public String operation() {
        return mOperation;
    }

    /**
     * Returns the peer that was involved.
     *
     * @return the address or name of the peer, or {@code local}; never null
     */
    public String peer() {
        return mPeer;
    }
}
