package org.oriolewind.distribution;

import org.oriolewind.error.OperationException;

/** Documents that another node sent can't be read. */
public final class DocumentException extends OperationException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an error.
     *
     * @param step what was being done
     * @param peer the node that sent the documents
     * @param message what went wrong
     * @param cause the underlying error, or null
     */
    public DocumentException(String step, String peer, String message, Throwable cause) {
        super(step, peer, message, cause);
    }
}
