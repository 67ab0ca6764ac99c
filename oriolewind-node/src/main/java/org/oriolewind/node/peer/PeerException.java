package org.oriolewind.node.peer;

import org.oriolewind.error.OperationException;

/** A connection between nodes that can't be had. Immutable. */
public final class PeerException extends OperationException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an error.
     *
     * @param step what was being done
     * @param peer the address
     * @param message what went wrong
     * @param cause the underlying error, or null
     */
    public PeerException(String step, String peer, String message, Throwable cause) {
        super(step, peer, message, cause);
    }
}
