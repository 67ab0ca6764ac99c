package org.oriolewind.config;

import java.time.Instant;
import java.util.SortedSet;

/**
 * Adds a name to, or removes it from, a set that operators control: data centres taken out of
 * service, or nodes to drain. Immutable.
 *
 * @param target the set to change
 * @param name the name of a data centre or node
 * @param present true to add the name, false to remove it
 */
public record NameSetEdit(Target target, String name, boolean present) implements ConfigEdit {
    /** The sets of names that operators control. */
    public enum Target {
        /** Data centres taken out of service. */
        DATA_CENTRES_OUT {
            @Override
            SortedSet<String> select(ConfigEntries draft) {
                return draft.dataCentresOut();
            }
        },
        /** Nodes to drain. */
        DRAINED_NODES {
            @Override
            SortedSet<String> select(ConfigEntries draft) {
                return draft.drainedNodes();
            }
        };

        abstract SortedSet<String> select(ConfigEntries draft);
    }

    @Override
    public boolean apply(MeshConfig current, ConfigEntries draft, Instant now) {
        SortedSet<String> set = target.select(draft);
        return present ? set.add(name) : set.remove(name);
    }
}
