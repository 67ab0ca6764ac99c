package org.oriolewind.node.peer;

import org.oriolewind.error.OperationException;

/** A connection between nodes that could not be established. Immutable. */
public final class PeerException extends OperationException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception; its message also names the operation, the address and the cause.
     *
     * @param operation the operation that failed, for example {@code listen}
     * @param peer address that was to be bound or connected to
     * @param message what went wrong
     * @param cause the underlying error, or null
     */
    public PeerException(String operation, String peer, String message, Throwable cause) {
        super(operation, peer, message, cause);
    }
}
