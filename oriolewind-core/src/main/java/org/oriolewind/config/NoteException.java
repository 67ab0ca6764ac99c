package org.oriolewind.config;

import java.util.List;
import java.util.stream.Collectors;
import org.oriolewind.error.OperationException;

/** A note that can't be accepted, with all faults found. Immutable. */
public final class NoteException extends OperationException {
    private static final long serialVersionUID = 1L;

    private final transient List<NoteFault> mFaults;

    /**
     * Creates an error.
     *
     * @param faults the faults, at least one
     */
    public NoteException(List<NoteFault> faults) {
        super("check note", "local", join(faults), null);
        mFaults = List.copyOf(faults);
    }

    /**
     * Returns the faults.
     *
     * @return the faults in the order of the note
     */
    public List<NoteFault> faults() {
        return mFaults;
    }

    private static String join(List<NoteFault> faults) {
        return faults.stream().map(NoteFault::toString).collect(Collectors.joining("; "));
    }
}
