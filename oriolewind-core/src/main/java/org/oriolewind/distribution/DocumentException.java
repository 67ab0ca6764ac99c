package org.oriolewind.distribution;

import org.oriolewind.error.OperationException;

/** Documents that another node sent can't be decoded. Immutable. */
public final class DocumentException extends OperationException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param operation the operation that failed
     * @param peer name of the node that sent the documents
     * @param message what is wrong with them
     * @param cause the underlying error, or null
     */
    public DocumentException(String operation, String peer, String message, Throwable cause) {
        super(operation, peer, message, cause);
    }
}
