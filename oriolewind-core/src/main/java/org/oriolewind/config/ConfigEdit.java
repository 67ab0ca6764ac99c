package org.oriolewind.config;

import java.time.Instant;

/**
 * A change of the configuration that can be tried again on a newer version. Implementations are
 * immutable.
 */
public interface ConfigEdit {
    /**
     * Applies the change.
     *
     * @param current the configuration to build on
     * @param draft its entries, to be changed
     * @param now the present
     * @return false if the change is in force already or no longer called for
     * @throws NoteException if the change can't be made
     */
    boolean apply(MeshConfig current, ConfigEntries draft, Instant now) throws NoteException;
}
