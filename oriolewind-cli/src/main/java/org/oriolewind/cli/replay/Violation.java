package org.oriolewind.cli.replay;

import org.oriolewind.cli.timeline.TimelineEvent;

/**
 * An event of a trace that violates an invariant. Immutable.
 *
 * @param invariant the violated invariant
 * @param event the event at which the violation shows
 * @param problem the description that the operator sees
 */
public record Violation(Invariant invariant, TimelineEvent event, String problem) {
    @Override
    public String toString() {
        return invariant.title() + ": " + event.location() + ": " + problem;
    }
}
