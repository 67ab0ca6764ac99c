package org.oriolewind.config;

import java.time.Instant;

/**
 * A change of the configuration that can be applied again to a newer version after a conflict.
 * Implementations are immutable.
 */
public interface ConfigEdit {
    /**
     * Applies the change.
     *
     * @param current the current configuration
     * @param draft a copy of its entries, changed by this call
     * @return false if the change is already in force or no longer applicable
     * @throws NoteException if the change is not valid
     */
    boolean apply(MeshConfig current, ConfigEntries draft, Instant now) throws NoteException;
}
