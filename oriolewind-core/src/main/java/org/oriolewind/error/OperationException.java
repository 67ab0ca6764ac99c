package org.oriolewind.error;

/**
 * Base of the checked errors of this project. It names the step that failed and the peer that was
 * involved.
 *
 * <p>Instances are immutable and safe for use by several threads.
 */
public abstract class OperationException extends Exception {
    private static final long serialVersionUID = 1L;

    private final String mStep;
    private final String mPeer;

    /**
     * Creates an error.
     *
     * @param step what was being done, such as {@code get mesh/config}
     * @param peer the address or name of the other side, or {@code local}
     * @param message what went wrong
     * @param cause the underlying error, or null
     */
    protected OperationException(String step, String peer, String message, Throwable cause) {
        super(text(step, peer, message, cause), cause);
        mStep = step;
        mPeer = peer;
    }

    private static String text(String step, String peer, String message, Throwable cause) {
        String reason = cause == null ? "" : ": " + cause.getMessage();
        return message + " (step: " + step + ", peer: " + peer + ")" + reason;
    }

    /**
     * Returns the step at which the error arose.
     *
     * @return the step, never null
     */
    public String step() {
        return mStep;
    }

    /**
     * Returns the peer at which the error arose.
     *
     * @return the peer, never null
     */
    public String peer() {
        return mPeer;
    }
}
