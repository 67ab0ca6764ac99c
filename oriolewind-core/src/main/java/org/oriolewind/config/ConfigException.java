package org.oriolewind.config;

import org.oriolewind.error.OperationException;

/** A configuration version that can't be used. Immutable. */
public final class ConfigException extends OperationException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an error.
     *
     * @param peer where the version came from
     * @param message what is wrong with it
     * @param cause the underlying error, or null
     */
    public ConfigException(String peer, String message, Throwable cause) {
        super("install configuration", peer, message, cause);
    }
}
