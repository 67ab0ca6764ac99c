package org.oriolewind.node;

import java.util.List;
import org.oriolewind.error.OperationException;

/** Settings that can't be used, with all faults. Immutable. */
public final class SettingsException extends OperationException {
    private static final long serialVersionUID = 1L;

    private final transient List<String> mFaults;

    /**
     * Creates an exception.
     *
     * @param faults one line for each fault
     */
    public SettingsException(List<String> faults) {
        super("check settings", "local", String.join("; ", faults), null);
        mFaults = List.copyOf(faults);
    }

    /**
     * Returns the faults.
     *
     * @return one line each
     */
    public List<String> faults() {
        return mFaults;
    }
}
