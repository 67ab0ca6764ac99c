package org.oriolewind.node;

import java.util.List;
import org.oriolewind.error.OperationException;

/** Invalid or missing settings, with all errors that were found. Immutable. */
public final class SettingsException extends OperationException {
    private static final long serialVersionUID = 1L;

    private final transient List<String> mErrors;

    /**
     * Creates an exception whose message joins all errors.
     *
     * @param errors one line for each error, which names the setting or the file
     */
    public SettingsException(List<String> errors) {
        super("check settings", "local", String.join("; ", errors), null);
        mErrors = List.copyOf(errors);
    }

    /** Returns the errors, one line each; never empty. */
    public List<String> errors() {
        return mErrors;
    }
}
