package org.oriolewind.cli.replay;

import org.oriolewind.cli.timeline.TimelineEvent;

/**
 * A line of a trace that breaks an invariant. Immutable.
 *
 * @param invariant the invariant
 * @param event the event that breaks it
 * @param problem what is wrong, for a person
 */
public record Violation(Invariant invariant, TimelineEvent event, String problem) {
    @Override
    public String toString() {
        return invariant.title() + ": " + event.location() + ": " + problem;
    }
}
