package org.oriolewind.config;

import org.oriolewind.error.OperationException;

/** A configuration version is damaged, unreadable or inconsistent. Immutable. */
public final class ConfigException extends OperationException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param peer the node or platform that sent the version, or {@code local}
     * @param message what is wrong with it
     * @param cause the underlying error, or null
     */
    public ConfigException(String peer, String message, Throwable cause) {
        super("install configuration", peer, message, cause);
    }
}
