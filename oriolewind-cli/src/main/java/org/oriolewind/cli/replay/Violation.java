package org.oriolewind.cli.replay;

import org.oriolewind.cli.timeline.TimelineEvent;

/**
 * A line of a trace that breaks a promise. Immutable.
 *
 * @param promise the promise
 * @param event the event that breaks it
 * @param problem what is wrong, for a person
 */
public record Violation(Promise promise, TimelineEvent event, String problem) {
    @Override
    public String toString() {
        return promise.title() + ": " + event.place() + ": " + problem;
    }
}
