package org.oriolewind.config;

import java.time.Instant;
import java.util.SortedSet;

/**
 * Adds or removes a name in one of the sets that operators steer: data centres taken out, nodes
 * told to drain. Immutable.
 *
 * @param target the set
 * @param name the name
 * @param present whether the name shall be in the set
 */
public record NameSetEdit(Target target, String name, boolean present) implements ConfigEdit {
    /** The sets that operators steer. */
    public enum Target {
        /** Data centres taken out. */
        DATA_CENTRES_OUT {
            @Override
            SortedSet<String> in(ConfigEntries draft) {
                return draft.dataCentresOut();
            }
        },
        /** Nodes told to drain. */
        DRAINED_NODES {
            @Override
            SortedSet<String> in(ConfigEntries draft) {
                return draft.drainedNodes();
            }
        };

        abstract SortedSet<String> in(ConfigEntries draft);
    }

    @Override
    public boolean apply(MeshConfig current, ConfigEntries draft, Instant now) {
        SortedSet<String> set = target.in(draft);
        return present ? set.add(name) : set.remove(name);
    }
}
